package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/proof/standin"
	"carawaycross.example/carawaycross/serve/peer"
)

const defaultServiceTime = 5 * time.Millisecond

// standinCommand implements the subcommand that runs stand-ins for the external systems:
// the platform's store and the upstreams.
type standinCommand struct {
	listen      string
	settings    string
	serviceTime time.Duration
	slowShare   float64
	platform    *flaggy.Subcommand
	upstream    *flaggy.Subcommand
}

func (c *standinCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("standin", "Run stand-ins for the platform or the upstreams, for trials.",
		"carawaycross standin upstream --settings examples/association.yaml")
	c.listen, c.serviceTime = "127.0.0.1:9090", defaultServiceTime
	c.platform = newSubcommand("platform", "Run the platform's store.", "carawaycross standin platform --listen 127.0.0.1:9090")
	c.platform.String(&c.listen, "", "listen", "Address, IP:port.")
	c.upstream = newSubcommand("upstream", "Run every upstream that a settings file names.",
		"carawaycross standin upstream --settings examples/association.yaml")
	c.upstream.String(&c.settings, "s", "settings", "The settings file.")
	c.upstream.Duration(&c.serviceTime, "", "service-time", "Mean time of a request.")
	c.upstream.Float64(&c.slowShare, "", "slow-share", "Share of slow requests, 0 to 1.")
	s.AttachSubcommand(c.platform, 1)
	s.AttachSubcommand(c.upstream, 1)
	return s
}

func (c *standinCommand) run(ctx context.Context) error {
	switch {
	case c.platform.Used:
		return c.runPlatform(ctx)
	case c.upstream.Used:
		return c.runUpstreams(ctx)
	}
	return usageError(errors.New("standin: name one of platform, upstream"))
}

func (c *standinCommand) runPlatform(ctx context.Context) error {
	platformStandin, err := standin.NewPlatform(c.listen)
	if err != nil {
		return err
	}
	fmt.Printf("the platform's stand-in listens at %s\n", platformStandin.Address())
	<-ctx.Done()
	return platformStandin.Close()
}

func (c *standinCommand) runUpstreams(ctx context.Context) error {
	checked, err := loadSettings(c.settings)
	if err != nil {
		return err
	}
	var started []*standin.Upstream
	defer func() {
		for _, u := range started {
			if err := u.Close(); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}()
	for _, s := range checked.Message.Services {
		for i, r := range s.Replicas {
			u, err := standin.NewUpstream(r.Address, standin.UpstreamConfig{
				Service: s.Name, Name: r.Name, Shard: r.Shard, Slots: int(s.Slots), Connections: int(s.Connections),
				ConnectionCost: s.ConnectionCost.AsDuration(), ServiceTime: c.serviceTime, SlowShare: c.slowShare,
				Seed: uint64(i),
			})
			if err != nil {
				return err
			}
			started = append(started, u)
		}
	}
	fmt.Printf("%d stand-in upstreams listen\n", len(started))
	<-ctx.Done()
	return nil
}

// keysCommand implements the subcommand that creates a certificate authority and the
// keys and certificates of the VMs.
type keysCommand struct {
	folder, deployment string
	vms                []string
	days               int
}

func (c *keysCommand) bind() *flaggy.Subcommand {
	c.days = 90
	s := newSubcommand("keys", "Make an authority and the keys of a deployment's VMs.",
		"carawaycross keys --folder keys --deployment association --vm entry-0 --vm entry-1")
	s.String(&c.folder, "", "folder", "The folder to write to; it must exist.")
	s.String(&c.deployment, "", "deployment", "The deployment's name.")
	s.StringSlice(&c.vms, "", "vm", "A VM's name; repeat it for each VM.")
	s.Int(&c.days, "", "days", "Days until the certificates expire.")
	return s
}

func (c *keysCommand) run(context.Context) error {
	if c.folder == "" || c.deployment == "" || len(c.vms) == 0 || c.days < 1 {
		return usageError(errors.New("keys: --folder, --deployment and --vm are needed, and --days of at least 1"))
	}
	authority, err := peer.NewAuthority(c.deployment)
	if err != nil {
		return err
	}
	for _, vm := range c.vms {
		keys, err := authority.Issue(c.folder, vm, time.Duration(c.days)*24*time.Hour)
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s %s %s\n", vm, keys.Certificate, keys.Key, keys.Authority)
	}
	return nil
}
