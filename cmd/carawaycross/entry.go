package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/eventlog"
	"carawaycross.example/carawaycross/serve/vm"
)

// entryCommand implements the subcommand that runs an entry VM on the users' platform.
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
		return usageError(err)
	}
	// By default, SIGHUP ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
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
	limitHeap(boot)
	options := []carawaycross.Option{carawaycross.WithLog(log)}
	switch c.policies {
	case "product":
	case "plain":
		options = append(options, carawaycross.WithPolicies(node.RoutedBaseline()))
	default:
		return usageError(fmt.Errorf("--policies: found %q, allowed: product, plain", c.policies))
	}
	entry, err := carawaycross.Enter(boot, options...)
	if err != nil {
		log.Error().Err(err).Msg("vm-not-started")
		return err
	}
	reloadOnHangup(ctx, log, path, hangups, entry)
	return entry.Stop(context.WithoutCancel(ctx))
}

// limitHeap sets the soft limit of the runtime's memory. Garbage of large replies would
// otherwise double the heap.
func limitHeap(boot *platform.Boot) {
	if boot.HeapLimit > 0 {
		debug.SetMemoryLimit(int64(boot.HeapLimit))
	}
}

// reloadOnHangup reads and checks the settings file at each SIGHUP and puts it into force,
// until the context is done. The VM keeps its settings if the file has an error.
func reloadOnHangup(ctx context.Context, log zerolog.Logger, path string, hangups <-chan os.Signal, v *vm.VM) {
	for {
		select {
		case <-hangups:
			boot, err := platform.LoadBoot(path)
			if err != nil {
				log.Error().Err(err).Msg("settings-not-reloaded")
				continue
			}
			limitHeap(boot)
			restart := v.Reload(ctx, boot.Settings)
			log.Info().Str("path", path).Strs("at-next-start", restart).Msg("settings-reloaded")
		case <-ctx.Done():
			return
		}
	}
}
