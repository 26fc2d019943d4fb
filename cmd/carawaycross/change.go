package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/client"
	"carawaycross.example/carawaycross/serve/settings"
)

const changeTries = 3

// A changer sends changes of the configuration.
type changer struct {
	target
	why   string
	based int
	force bool
}

func (c *changer) changeFlags(s *flaggy.Subcommand) {
	c.flags(s)
	s.String(&c.why, "", "why", "The reason, kept in the history.")
	s.Int(&c.based, "", "based-on", "The version that the change is based on; the newest without it.")
	s.Bool(&c.force, "", "force", "Accept a step that leaves too little capacity.")
}

// send sends one change. A send whose outcome is unknown is repeated with the
// same ID, so that it takes effect once.
func (c *changer) send(ctx context.Context, kind config.ChangeKind, subject string, p *schema.Preset) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	based := uint32(c.based)
	if based == 0 {
		current, err := c.client().Configuration(ctx)
		if err != nil {
			return err
		}
		based = current.Version
	}
	request := &schema.ChangeRequest{BasedOn: based, Change: &schema.Change{
		Id: rand.Text(), Kind: string(kind), Subject: subject, Preset: p,
		Who: who(), Why: c.why, AtMs: time.Now().UnixMilli(), Force: c.force,
	}}
	var answer *schema.ChangeAnswer
	var err error
	for range changeTries {
		answer, err = c.client().Change(ctx, request)
		var e *client.Error
		if err == nil || !errors.As(err, &e) || e.Outcome() != booking.MayHaveRun {
			break
		}
	}
	if err != nil {
		return err
	}
	return c.print(kind, subject, answer)
}

func (c *changer) print(kind config.ChangeKind, subject string, answer *schema.ChangeAnswer) error {
	if c.json {
		return printJSON(answer)
	}
	fmt.Printf("%s %s: accepted as version %d\n", kind, subject, answer.Version)
	for _, d := range answer.Differences {
		fmt.Printf("  %s: %s -> %s\n", d.Field, d.Old, d.New)
	}
	return nil
}

func who() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// presetCommand lists, shows, stores and switches presets.
type presetCommand struct {
	changer
	name, file                string
	inForce                   bool
	list, show, put, switchTo *flaggy.Subcommand
}

func (c *presetCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("preset", "List, show, store or switch presets.", "carawaycross preset switch peak --why 'lunch time'")
	c.list = newSubcommand("list", "List the presets.", "carawaycross preset list")
	c.flags(c.list)
	c.show = newSubcommand("show", "Show a preset, or where the one in force is in force.", "carawaycross preset show --in-force")
	c.flags(c.show)
	c.show.AddPositionalValue(&c.name, "name", 1, false, "The preset's name.")
	c.show.Bool(&c.inForce, "", "in-force", "Show the preset in force, and on which VMs.")
	c.put = newSubcommand("put", "Store a preset from a YAML file.", "carawaycross preset put peak.yaml --why 'more children'")
	c.changeFlags(c.put)
	c.put.AddPositionalValue(&c.file, "file", 1, true, "The preset in YAML.")
	c.switchTo = newSubcommand("switch", "Put a preset in force.", "carawaycross preset switch maintenance --why 'new fridge'")
	c.changeFlags(c.switchTo)
	c.switchTo.AddPositionalValue(&c.name, "name", 1, true, "The preset's name.")
	for _, sub := range []*flaggy.Subcommand{c.list, c.show, c.put, c.switchTo} {
		s.AttachSubcommand(sub, 1)
	}
	return s
}

func (c *presetCommand) run(ctx context.Context) error {
	switch {
	case c.list.Used:
		return c.runList(ctx)
	case c.show.Used:
		return c.runShow(ctx)
	case c.put.Used:
		return c.runPut(ctx)
	case c.switchTo.Used:
		return c.send(ctx, config.SwitchPreset, c.name, nil)
	}
	return usage(errors.New("preset: name one of list, show, put, switch"))
}

func (c *presetCommand) runList(ctx context.Context) error {
	current, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(current)
	}
	for _, p := range current.Presets {
		mark := " "
		if p.Name == current.InForce {
			mark = "*"
		}
		fmt.Printf("%s %s\n", mark, p.Name)
	}
	return nil
}

func (c *presetCommand) runShow(ctx context.Context) error {
	current, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	if c.inForce || c.name == "" {
		c.name = current.InForce
	}
	i := slices.IndexFunc(current.Presets, func(p *schema.Preset) bool { return p.Name == c.name })
	if i < 0 {
		return usage(fmt.Errorf("preset show: found %q, allowed: one of 'preset list'", c.name))
	}
	if err := printJSON(current.Presets[i]); err != nil || !c.inForce || c.json {
		return err
	}
	return c.showInForce(ctx)
}

func (c *presetCommand) showInForce(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tVERSION\tSINCE\tHEARD")
	for _, vm := range status.Vms {
		since, heard := "never heard", "self"
		if vm.VersionSince != nil {
			since = vm.VersionSince.AsTime().UTC().Format(time.RFC3339)
		}
		if vm.Vm != status.Vm {
			heard = vm.HeardAgo.AsDuration().String() + " ago"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", vm.Vm, vm.Version, since, heard)
	}
	return t.Flush()
}

func (c *presetCommand) runPut(ctx context.Context) error {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return usage(err)
	}
	p, err := settings.ParsePreset(c.file, text)
	if err != nil {
		return err
	}
	return c.send(ctx, config.PutPreset, p.Name, p)
}

// outCommand takes zones or VMs out and brings them back.
type outCommand struct {
	changer
	noun          string
	name          string
	out, in, list *flaggy.Subcommand
}

func newOutCommand(noun string) *outCommand { return &outCommand{noun: noun} }

func (c *outCommand) bind() *flaggy.Subcommand {
	s := newSubcommand(c.noun, fmt.Sprintf("Take a %s out, bring it in, or list those out.", c.noun),
		fmt.Sprintf("carawaycross %s out NAME --why maintenance", c.noun))
	c.out = c.direction("out", "Give it no new work; work in progress ends.")
	c.in = c.direction("in", "Bring it back, through the ramp of a cold start.")
	c.list = newSubcommand("list", "List those that are out.", fmt.Sprintf("carawaycross %s list", c.noun))
	c.flags(c.list)
	for _, sub := range []*flaggy.Subcommand{c.out, c.in, c.list} {
		s.AttachSubcommand(sub, 1)
	}
	return s
}

func (c *outCommand) direction(name, description string) *flaggy.Subcommand {
	s := newSubcommand(name, description, fmt.Sprintf("carawaycross %s %s NAME --why maintenance", c.noun, name))
	c.changeFlags(s)
	s.AddPositionalValue(&c.name, "name", 1, true, "The name.")
	return s
}

func (c *outCommand) run(ctx context.Context) error {
	kinds := map[string][2]config.ChangeKind{
		"zone": {config.ZoneOut, config.ZoneIn},
		"vm":   {config.VMOut, config.VMIn},
	}[c.noun]
	switch {
	case c.out.Used:
		return c.send(ctx, kinds[0], c.name, nil)
	case c.in.Used:
		return c.send(ctx, kinds[1], c.name, nil)
	case c.list.Used:
		return c.runList(ctx)
	}
	return usage(fmt.Errorf("%s: name one of out, in, list", c.noun))
}

func (c *outCommand) runList(ctx context.Context) error {
	current, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(&schema.Configuration{
			Version: current.Version, ZonesOut: current.ZonesOut, VmsOut: current.VmsOut,
		})
	}
	names := current.ZonesOut
	if c.noun == "vm" {
		names = current.VmsOut
	}
	if len(names) == 0 {
		fmt.Printf("no %s is out\n", c.noun)
		return nil
	}
	fmt.Println(strings.Join(names, "\n"))
	return nil
}
