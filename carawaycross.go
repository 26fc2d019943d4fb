// Package carawaycross answers one search across many shards as if they were
// one store.
//
// Serve runs an entry VM from a settings file. New assembles one from options,
// for a program that embeds it. The decision cores in packages node and control
// have no clock, transport or codec and can be driven by any front end; see
// docs/EMBEDDING.md.
package carawaycross

import (
	"context"
	"errors"
	"net/http"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/settings"
	"carawaycross.example/carawaycross/serve/traffic"
	"carawaycross.example/carawaycross/serve/vm"
)

// Version is the version of the product.
const Version = "0.1.0"

// An Option sets an option of New, Enter or Serve.
type Option func(*assembly)

// An assembly collects the effects of the options.
type assembly struct {
	settings *settings.Settings
	err      error
	options  vm.Options
}

// WithSettings sets the settings, which must have been validated.
func WithSettings(s *settings.Settings) Option {
	return func(a *assembly) { a.settings = s }
}

// WithSettingsFile reads the settings from a file and validates them.
func WithSettingsFile(path string) Option {
	return func(a *assembly) { a.settings, a.err = settings.Load(path) }
}

// WithPolicies replaces the policies for traffic; a nil field selects the default.
func WithPolicies(p node.Policies) Option {
	return func(a *assembly) { a.options.Policies = p }
}

// WithStore replaces the client of the platform's object store.
func WithStore(s platform.Store) Option {
	return func(a *assembly) { a.options.Store = s }
}

// WithLog sets the logger for the VM's events; by default nothing is logged.
func WithLog(l zerolog.Logger) Option {
	return func(a *assembly) { a.options.Log = l }
}

// New starts an entry VM, which serves until Stop or Close is called.
func New(options ...Option) (*vm.VM, error) {
	a := &assembly{options: vm.Options{Log: zerolog.Nop()}}
	for _, o := range options {
		o(a)
	}
	if a.err != nil {
		return nil, a.err
	}
	if a.settings == nil {
		return nil, &vm.Error{Op: "new", Kind: vm.CannotStart, Err: errors.New("no settings were given")}
	}
	return vm.Start(a.settings, a.options)
}

// Enter starts an entry VM on the users' platform. The VM discovers its routes and
// replicas in the platform's object store.
func Enter(boot *platform.Boot, options ...Option) (*vm.VM, error) {
	a := &assembly{options: vm.Options{Log: zerolog.Nop(), Policies: node.Routed()}}
	for _, o := range options {
		o(a)
	}
	platformSettings := boot.Settings.Message.Platform
	store := &platform.Client{Address: platformSettings.Address, Rate: ident.Rate(platformSettings.CallsPerSecond)}
	log := a.options.Log
	store.Unreadable = func(kind, name string, err error) {
		log.Warn().Str("kind", kind).Str("name", name).Err(err).Msg("entry-not-read")
	}
	store.EraBegan = func(before, now platform.Era) {
		log.Warn().Uint16("before", uint16(before)).Uint16("now", uint16(now)).Msg("store-restored")
	}
	replicas, configurations, zones := store.Replicas(clock.New()), store.Configurations(), store.ZonesOut()
	presets := store.Objects(boot.PresetsObject())
	var region []ident.ZoneID
	for _, zone := range boot.RegionZones {
		region = append(region, ident.ZoneID(zone))
	}
	a.options.Store = store
	memory := body.NewBudget(boot.Settings.ReplyMemory())
	a.options.Discovery = &vm.Discovery{
		UpstreamClient: &platform.Sender{Memory: memory}, ReplyMemory: memory, Registry: store, Presets: presets, ApplyWithin: boot.ApplyWithin, FirstStart: boot.Bootstrap, Region: region,
		Replicas: replicas, Configurations: configurations, ZonesOut: zones,
		Rollouts: vm.Rollouts{Orders: store.Rollouts(), Writer: store},
		Front: func(loop *traffic.Loop, board *view.Publisher, leaving, outdated func() bool) http.Handler {
			return &platform.Front{Traffic: loop, Board: board, Log: log, Leaving: leaving, Outdated: outdated}
		},
		Ready: platform.Readiness,
	}
	return vm.Start(boot.Settings, a.options)
}

// Serve runs an entry VM from a settings file until the context is done. It then stops
// the VM, which first completes the requests that it accepted, within the limit of the
// settings.
func Serve(ctx context.Context, path string, options ...Option) error {
	v, err := New(append([]Option{WithSettingsFile(path)}, options...)...)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return v.Stop(context.WithoutCancel(ctx))
}
