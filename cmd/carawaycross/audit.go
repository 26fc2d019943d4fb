package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/core/audit"
	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
)

// configCommand implements the subcommands on the operators' configuration of routes.
type configCommand struct {
	check    *flaggy.Subcommand
	file     string
	inForce  string
	store    string
	settings string
	vms      int
	json     bool
}

func (c *configCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("config", "Check a configuration of routes before it is sent.",
		"carawaycross config check next.json --store 10.200.1.7:8229 --vms 32")
	c.check = newSubcommand("check", "Print errors, entries that never match, limits that contradict each other, and what changes.",
		"carawaycross config check next.json --in-force now.json")
	c.check.AddPositionalValue(&c.file, "file", 1, true, "The configuration, as it would be written to the platform's store.")
	c.check.String(&c.inForce, "", "in-force", "The configuration in force, in a file.")
	c.check.String(&c.store, "", "store", "The address of the platform's store, for the configuration in force and the replicas.")
	c.check.String(&c.settings, "s", "settings", "The platform's settings file of the smallest VM, for its memory.")
	c.check.Int(&c.vms, "", "vms", "The number of VMs.")
	c.check.Bool(&c.json, "", "json", "Print JSON.")
	s.AttachSubcommand(c.check, 1)
	return s
}

// An auditReport is the output with --json.
type auditReport struct {
	Findings    []audit.Finding    `json:"findings"`
	Differences []audit.Difference `json:"differences"`
}

func (c *configCommand) run(ctx context.Context) error {
	if !c.check.Used {
		return usageError(errors.New("name a subcommand: check"))
	}
	next, err := readDraft(c.file)
	if err != nil {
		return err
	}
	e := audit.Environment{VMs: c.vms}
	inForce, err := c.readInForce(ctx, &e)
	if err != nil {
		return err
	}
	if err := c.readMemory(&e); err != nil {
		return err
	}
	var r auditReport
	if next.Ignored != "" {
		r.Findings = append(r.Findings, audit.Finding{Severity: audit.Warning, Place: c.file, Text: next.Ignored})
	}
	if inForce != nil {
		e.InForce = inForce.Version
		r.Differences = audit.Compare(inForce, &next.Configuration)
	}
	r.Findings = append(r.Findings, audit.Check(&next.Configuration, e)...)
	return c.print(&r)
}

// readInForce returns the configuration in force, or nil if none was named. It adds the
// replicas of the store to the environment.
func (c *configCommand) readInForce(ctx context.Context, e *audit.Environment) (*catalogue.Configuration, error) {
	switch {
	case c.inForce != "" && c.store != "":
		return nil, usageError(errors.New("--in-force and --store exclude each other"))
	case c.inForce != "":
		d, err := readDraft(c.inForce)
		return &d.Configuration, err
	case c.store == "":
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := &platform.Client{Address: c.store}
	defer func() { _ = store.Close() }()
	replicas, err := store.Replicas(clock.New()).List(ctx)
	if err != nil {
		return nil, err
	}
	e.Replicas = map[ident.ServiceID]int{}
	for _, r := range replicas.Items {
		if !r.Value.Leaving {
			e.Replicas[r.Value.Service]++
		}
	}
	configurations, err := store.Configurations().List(ctx)
	if err != nil || len(configurations.Items) == 0 {
		return nil, err
	}
	return &configurations.Items[0].Value, nil
}

func (c *configCommand) readMemory(e *audit.Environment) error {
	if c.settings == "" {
		return nil
	}
	boot, err := platform.LoadBoot(c.settings)
	if err != nil {
		return usageError(err)
	}
	e.RequestMemory = ident.Bytes(boot.Settings.Message.Discovery.RequestMemoryBytes)
	return nil
}

func readDraft(path string) (platform.Draft, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return platform.Draft{}, usageError(err)
	}
	d, err := platform.ReadDraft(path, text)
	if err != nil {
		return platform.Draft{}, usageError(err)
	}
	return d, nil
}

// print prints the report. It returns an error, for the exit code, if there are findings
// with severity Error.
func (c *configCommand) print(r *auditReport) error {
	failures := 0
	for _, f := range r.Findings {
		if f.Severity == audit.Error {
			failures++
		}
	}
	if c.json {
		text, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(text))
	} else {
		for _, f := range r.Findings {
			fmt.Printf("%s: %s: %s\n", f.Severity, f.Place, f.Text)
		}
		for _, d := range r.Differences {
			fmt.Printf("changes: %s: %s\n", d.Place, d.Text)
		}
	}
	if failures > 0 {
		return usageError(fmt.Errorf("%s: %d errors", c.file, failures))
	}
	return nil
}
