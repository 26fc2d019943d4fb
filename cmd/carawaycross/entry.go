package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/eventlog"
)

type entryCommand struct {
	settings string
	level    string
	policies string
}

func (c *entryCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("entry", "Run an entry VM on the users' platform until SIGTERM.",
		platform.BootVariable+"=/etc/carawaycross/settings.conf carawaycross entry")
	c.level = "info"
	s.String(&c.settings, "s", "settings", "The platform's settings file; without it, the one that "+platform.BootVariable+" names.")
	c.policies = "product"
	s.String(&c.policies, "p", "policies", "product, or plain to compare with: least in flight, no hedges.")
	s.String(&c.level, "l", "log-level", "One of debug, info, warn, error.")
	return s
}

func (c *entryCommand) run(ctx context.Context) error {
	level, err := zerolog.ParseLevel(c.level)
	if err != nil {
		return usage(err)
	}
	// Without a receiver SIGHUP would end the process.
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	path := c.settings
	if path == "" {
		path = os.Getenv(platform.BootVariable)
	}
	out := eventlog.New(os.Stdout)
	log := out.Logger(level)
	defer out.Close()
	boot, err := platform.LoadBoot(path)
	if err != nil {
		log.Error().Err(err).Msg("settings-not-read")
		return err
	}
	log.Info().Strs("fields", boot.Unknown).Msg("settings-ignored")
	options := []carawaycross.Option{carawaycross.WithLog(log)}
	switch c.policies {
	case "product":
	case "plain":
		options = append(options, carawaycross.WithPolicies(node.RoutedBaseline()))
	default:
		return usage(fmt.Errorf("--policies: found %q, allowed: product, plain", c.policies))
	}
	v, err := carawaycross.Enter(boot, options...)
	if err != nil {
		log.Error().Err(err).Msg("vm-not-started")
		return err
	}
	reload(ctx, log, path, hups)
	return v.Stop(context.WithoutCancel(ctx))
}

// reload reads the settings again at each SIGHUP, until the context is done.
func reload(ctx context.Context, log zerolog.Logger, path string, hups <-chan os.Signal) {
	for {
		select {
		case <-hups:
			if _, err := platform.LoadBoot(path); err != nil {
				log.Error().Err(err).Msg("settings-not-reloaded")
				continue
			}
			log.Info().Str("path", path).Msg("settings-reloaded")
		case <-ctx.Done():
			return
		}
	}
}
