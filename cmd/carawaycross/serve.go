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

// serveCommand implements the subcommand that runs an entry VM with a YAML settings file.
type serveCommand struct{ settings string }

func (c *serveCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("serve", "Run an entry VM until SIGTERM.", "carawaycross serve --settings /etc/carawaycross.yaml")
	s.String(&c.settings, "s", "settings", "The VM's settings file in YAML.")
	return s
}

func (c *serveCommand) run(ctx context.Context) error {
	checked, err := loadSettings(c.settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(checked.Message.LogLevel)
	if err != nil {
		return usageError(err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	vm, err := carawaycross.New(carawaycross.WithSettings(checked), carawaycross.WithLog(log))
	if err != nil {
		return err
	}
	fmt.Printf("entry VM %s serves callers at http://%s, operators at http://%s\n",
		checked.Message.Vm.Name, vm.Address(), vm.OperatorAddress())
	<-ctx.Done()
	return vm.Stop(context.WithoutCancel(ctx))
}

// loadSettings reads the settings file that the flag --settings names.
func loadSettings(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, usageError(fmt.Errorf("--settings: found none, a file's path is needed"))
	}
	return settings.Load(path)
}

// checkCommand implements the subcommand that checks a settings file.
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

// load reads the settings file, in YAML or in the format of the users' platform.
func (c *checkCommand) load() (*settings.Settings, error) {
	if !c.platform {
		return loadSettings(c.settings)
	}
	boot, err := platform.LoadBoot(c.settings)
	if err != nil {
		return nil, usageError(err)
	}
	if len(boot.Unknown) > 0 {
		fmt.Printf("ignored: %s\n", strings.Join(boot.Unknown, " "))
	}
	return boot.Settings, nil
}

// demoCommand implements the subcommand that runs the demo.
type demoCommand struct{}

func (c *demoCommand) bind() *flaggy.Subcommand {
	return newSubcommand("demo", "Show a whole deployment on loopback, stand-ins included.", "carawaycross demo")
}

func (c *demoCommand) run(ctx context.Context) error { return demo.Run(ctx, os.Stdout) }

// versionCommand implements the subcommand that prints the version.
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
