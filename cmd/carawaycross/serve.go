package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/demo"
	"carawaycross.example/carawaycross/serve/settings"
)

type serveCommand struct{ settings string }

func (c *serveCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("serve", "Run an entry VM until SIGTERM.", "carawaycross serve --settings /etc/carawaycross.yaml")
	s.String(&c.settings, "s", "settings", "The VM's settings file in YAML.")
	return s
}

func (c *serveCommand) run(ctx context.Context) error {
	checked, err := load(c.settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(checked.Message.LogLevel)
	if err != nil {
		return usage(err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	v, err := carawaycross.New(carawaycross.WithSettings(checked), carawaycross.WithLog(log))
	if err != nil {
		return err
	}
	fmt.Printf("entry VM %s serves callers at http://%s, operators at http://%s\n",
		checked.Message.Vm.Name, v.Address(), v.OperatorAddress())
	<-ctx.Done()
	return v.Stop(context.WithoutCancel(ctx))
}

func load(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, usage(fmt.Errorf("--settings: found none, a file's path is needed"))
	}
	return settings.Load(path)
}

type checkCommand struct {
	settings string
	json     bool
	platform bool
}

func (c *checkCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("check", "Check a settings file and start nothing.", "carawaycross check --settings examples/association.yaml")
	s.String(&c.settings, "s", "settings", "The settings file to check.")
	s.Bool(&c.json, "", "json", "Print the settings with their defaults as JSON.")
	s.Bool(&c.platform, "", "platform", "The file is the users' platform's.")
	return s
}

func (c *checkCommand) run(context.Context) error {
	checked, err := c.load()
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(checked.Message)
	}
	m := checked.Message
	replicas := 0
	for _, s := range m.Services {
		replicas += len(s.Replicas)
	}
	fmt.Printf("%s is right: VM %s in %s of deployment %s, %d services, %d replicas, %d presets, %d other VMs\n",
		c.settings, m.Vm.Name, m.Vm.Zone, m.Deployment, len(m.Services), replicas, len(m.Presets), len(m.Peers.Seeds))
	return nil
}

// load reads the settings in either format.
func (c *checkCommand) load() (*settings.Settings, error) {
	if !c.platform {
		return load(c.settings)
	}
	boot, err := platform.LoadBoot(c.settings)
	if err != nil {
		return nil, usage(err)
	}
	if len(boot.Unknown) > 0 {
		fmt.Printf("ignored: %s\n", strings.Join(boot.Unknown, " "))
	}
	return boot.Settings, nil
}

type demoCommand struct{}

func (c *demoCommand) bind() *flaggy.Subcommand {
	return newSubcommand("demo", "Show a whole deployment on loopback, stand-ins included.", "carawaycross demo")
}

func (c *demoCommand) run(ctx context.Context) error { return demo.Run(ctx, os.Stdout) }

type versionCommand struct{ json bool }

func (c *versionCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("version", "Print the version.", "carawaycross version")
	s.Bool(&c.json, "", "json", "Print JSON.")
	return s
}

func (c *versionCommand) run(context.Context) error {
	if c.json {
		fmt.Printf("{\"version\": %q}\n", carawaycross.Version)
		return nil
	}
	fmt.Println(carawaycross.Version)
	return nil
}
