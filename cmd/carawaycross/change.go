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

const maxChangeAttempts = 3

// A changeSender holds the flags of the subcommands that change the configuration, and
// sends their changes.
type changeSender struct {
	vmTarget
	why     string
	basedOn int
	force   bool
}

func (c *changeSender) bindChangeFlags(s *flaggy.Subcommand) {
	c.bindFlags(s)
	s.String(&c.why, "", "why", "The reason, kept in the history.")
	s.Int(&c.basedOn, "", "based-on", "The version that the change is based on; the newest without it.")
	s.Bool(&c.force, "", "force", "Accept a step that leaves too little capacity.")
}

// send sends one change. If the outcome is unknown, it sends the change again with the
// same ID, under which it is applied at most once.
func (c *changeSender) send(ctx context.Context, kind config.ChangeKind, subject string, p *schema.Preset) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	basedOn := uint32(c.basedOn)
	if basedOn == 0 {
		current, err := c.client().Configuration(ctx)
		if err != nil {
			return err
		}
		basedOn = current.Version
	}
	request := &schema.ChangeRequest{BasedOn: basedOn, Change: &schema.Change{
		Id: rand.Text(), Kind: string(kind), Subject: subject, Preset: p,
		Who: currentUser(), Why: c.why, AtMs: time.Now().UnixMilli(), Force: c.force,
	}}
	var answer *schema.ChangeAnswer
	var err error
	for range maxChangeAttempts {
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

func (c *changeSender) print(kind config.ChangeKind, subject string, answer *schema.ChangeAnswer) error {
	if c.json {
		return printJSON(answer)
	}
	fmt.Printf("%s %s: accepted as version %d\n", kind, subject, answer.Version)
	for _, d := range answer.Differences {
		fmt.Printf("  %s: %s -> %s\n", d.Field, d.Old, d.New)
	}
	return nil
}

// currentUser returns the name of the operating system's user, for the history of
// changes.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// presetCommand implements the subcommand that lists, shows, stores and switches presets.
type presetCommand struct {
	changeSender
	name, file                string
	inForce                   bool
	list, show, put, switchTo *flaggy.Subcommand
}

func (c *presetCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("preset", "List, show, store or switch presets.", "carawaycross preset switch peak --why 'lunch time'")
	c.list = newSubcommand("list", "List the presets.", "carawaycross preset list")
	c.bindFlags(c.list)
	c.show = newSubcommand("show", "Show a preset, or where the one in force is in force.", "carawaycross preset show --in-force")
	c.bindFlags(c.show)
	c.show.AddPositionalValue(&c.name, "name", 1, false, "The preset's name.")
	c.show.Bool(&c.inForce, "", "in-force", "Show the preset in force, and on which VMs.")
	c.put = newSubcommand("put", "Store a preset from a YAML file.", "carawaycross preset put peak.yaml --why 'more children'")
	c.bindChangeFlags(c.put)
	c.put.AddPositionalValue(&c.file, "file", 1, true, "The preset in YAML.")
	c.switchTo = newSubcommand("switch", "Put a preset in force.", "carawaycross preset switch maintenance --why 'new fridge'")
	c.bindChangeFlags(c.switchTo)
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
	return usageError(errors.New("preset: name one of list, show, put, switch"))
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
		return usageError(fmt.Errorf("preset show: found %q, allowed: one of 'preset list'", c.name))
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
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tVERSION\tSINCE\tHEARD")
	for _, vm := range status.Vms {
		since, lastHeard := "never heard", "self"
		if vm.VersionSince != nil {
			since = vm.VersionSince.AsTime().UTC().Format(time.RFC3339)
		}
		if vm.Vm != status.Vm {
			lastHeard = vm.HeardAgo.AsDuration().String() + " ago"
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", vm.Vm, vm.Version, since, lastHeard)
	}
	return table.Flush()
}

func (c *presetCommand) runPut(ctx context.Context) error {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return usageError(err)
	}
	p, err := settings.ParsePreset(c.file, text)
	if err != nil {
		return err
	}
	return c.send(ctx, config.PutPreset, p.Name, p)
}

// outCommand implements the subcommands zone and vm, which take a zone or VM out of
// service, return it to service, or list those out of service.
type outCommand struct {
	changeSender
	// resource is "zone" or "vm".
	resource      string
	name          string
	out, in, list *flaggy.Subcommand
}

func newOutCommand(resource string) *outCommand { return &outCommand{resource: resource} }

func (c *outCommand) bind() *flaggy.Subcommand {
	s := newSubcommand(c.resource, fmt.Sprintf("Take a %s out, bring it in, or list those out.", c.resource),
		fmt.Sprintf("carawaycross %s out NAME --why maintenance", c.resource))
	c.out = c.newChangeSubcommand("out", "Give it no new work; work in progress ends.")
	c.in = c.newChangeSubcommand("in", "Bring it back, through the ramp of a cold start.")
	c.list = newSubcommand("list", "List those that are out.", fmt.Sprintf("carawaycross %s list", c.resource))
	c.bindFlags(c.list)
	for _, sub := range []*flaggy.Subcommand{c.out, c.in, c.list} {
		s.AttachSubcommand(sub, 1)
	}
	return s
}

// newChangeSubcommand returns the subcommand out or in.
func (c *outCommand) newChangeSubcommand(name, description string) *flaggy.Subcommand {
	s := newSubcommand(name, description, fmt.Sprintf("carawaycross %s %s NAME --why maintenance", c.resource, name))
	c.bindChangeFlags(s)
	s.AddPositionalValue(&c.name, "name", 1, true, "The name.")
	return s
}

func (c *outCommand) run(ctx context.Context) error {
	kinds := map[string][2]config.ChangeKind{
		"zone": {config.ZoneOut, config.ZoneIn},
		"vm":   {config.VMOut, config.VMIn},
	}[c.resource]
	switch {
	case c.out.Used:
		return c.send(ctx, kinds[0], c.name, nil)
	case c.in.Used:
		return c.send(ctx, kinds[1], c.name, nil)
	case c.list.Used:
		return c.runList(ctx)
	}
	return usageError(fmt.Errorf("%s: name one of out, in, list", c.resource))
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
	if c.resource == "vm" {
		names = current.VmsOut
	}
	if len(names) == 0 {
		fmt.Printf("no %s is out\n", c.resource)
		return nil
	}
	fmt.Println(strings.Join(names, "\n"))
	return nil
}
