package vm

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/traffic"
	"carawaycross.example/carawaycross/serve/watch"
)

// listVMsEvery is the time between two reads of the list of VMs: a VM that comes
// or goes changes the others' shares, which have room for one more.
const listVMsEvery = 10 * time.Second

// firstStartWait is enough for the VMs of a deployment, which start within a second
// of each other, to be on the list of VMs.
const firstStartWait = 2500 * time.Millisecond

// listedWithin is how long a VM that starts waits for the list of VMs, many times
// what the store usually takes.
const listedWithin = 100 * time.Millisecond

// directPart of the time in which a change must be in force may pass until a VM
// notices that its mirror does not hear from the store.
const directPart = 0.4

// A Carrier sends attempts to upstreams.
type Carrier interface {
	traffic.Upstream
	// Totals are counters for metrics.
	Totals() any
	Close() error
}

// A Registry keeps the list of VMs.
type Registry interface {
	// EntryVersion returns the version of a VM's entry, 0 if there is none.
	EntryVersion(ctx context.Context, name string) (platform.StoreVersion, error)
	// Enter replaces that version, 0 for a new entry, and returns the one that
	// Withdraw takes away.
	Enter(ctx context.Context, vm platform.ListedVM, old platform.StoreVersion) (platform.StoreVersion, error)
	Withdraw(ctx context.Context, name string, entry platform.StoreVersion) error
}

// A Discovery connects a VM to routes and replicas that it is told of while it
// runs. All fields must be set.
type Discovery struct {
	UpstreamClient Carrier
	Registry       Registry
	// Presets follows the object that holds the presets.
	Presets        watch.Polled[[]byte]
	Replicas       watch.Polled[catalogue.Replica]
	Configurations watch.Polled[catalogue.Configuration]
	ZonesOut       watch.Polled[ident.ZoneID]
	// ApplyWithin is the time within which a change must be in force.
	ApplyWithin time.Duration
	// Region holds the availability zones of the VM's region.
	Region []ident.ZoneID
	// First is true when the whole deployment starts for the first time.
	First bool
	// Front and Ready return the handlers of the clients' door and of the
	// balancer's question.
	// Leaving is true while clients should open their next connection elsewhere.
	Front func(lane *traffic.Loop, board *view.Publisher, leaving func() bool) http.Handler
	Ready func(ready func() bool) http.Handler
}

type claimer interface {
	traffic.Claimer
	Close() error
}

// noClaims is the claimer of a VM that serves no requests with keys.
type noClaims struct{}

func (noClaims) Claim(context.Context, ident.RequestKey) booking.ClaimResult {
	return booking.Unavailable
}

func (noClaims) Close() error { return nil }

func (v *VM) startDiscovery(ctx context.Context, self roster.Member) error {
	if err := v.startMirrors(ctx, &self); err != nil {
		return err
	}
	d, m := v.discovery, v.settings.Message.Discovery
	front, err := net.Listen("tcp", m.Front)
	if err != nil {
		return &Error{"listen", CannotStart, err}
	}
	ready, err := net.Listen("tcp", m.Ready)
	if err != nil {
		_ = front.Close()
		return &Error{"listen", CannotStart, err}
	}
	v.serve(ctx, front, d.Front(v.lane, v.board, func() bool { return v.door.Leaving() || v.cutOff.Load() }))
	v.serve(ctx, ready, d.Ready(func() bool { return v.door.Ready() && !v.cutOff.Load() }))
	v.group.Go(ctx, v.followReach)
	v.group.Go(ctx, v.mirrors.pulse.Run)
	r := &v.mirrors.readers
	v.group.Go(ctx, func(ctx context.Context) { follow(ctx, v, r.replicas, v.replicaTaker()) })
	v.group.Go(ctx, func(ctx context.Context) { follow(ctx, v, r.configurations, v.configurationTaker()) })
	v.group.Go(ctx, func(ctx context.Context) { follow(ctx, v, r.zonesOut, v.zoneTaker()) })
	v.group.Go(ctx, func(ctx context.Context) { follow(ctx, v, r.presets, v.presetTaker()) })
	v.group.Go(ctx, v.watcher.List)
	v.group.Go(ctx, func(ctx context.Context) { v.enter(ctx, self) })
	return nil
}

// follow follows a reader. It first waits for the list of VMs, so that a VM which
// starts reads through another one; at the first start of a deployment, when no
// client is there yet, until the VMs have had the time to put themselves on it.
func follow[T any](ctx context.Context, v *VM, r *mirror.Reader[T], taker watch.Taker[T]) {
	switch {
	case v.mirrors.direct:
	case v.discovery.First:
		clock.Sleep(ctx, firstStartWait)
	default:
		timer := time.NewTimer(listedWithin)
		defer timer.Stop()
		select {
		case <-v.mirrors.choice.Known():
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	watch.Follow(ctx, r, taker)
}

// enter puts this VM on the list of VMs, as often as it takes.
func (v *VM) enter(ctx context.Context, self roster.Member) {
	backoff := platform.Backoff{}
	entry := platform.ListedVM{
		Name: string(self.VM), Zone: string(self.Zone), Address: self.Address, Incarnation: uint64(self.Incarnation),
		Certificate: v.mirrors.identity.Digest(),
	}
	// An earlier life of the VM may have left its entry.
	mayBeListed := !v.discovery.First
	for ctx.Err() == nil {
		version, err := v.replaceEntry(ctx, entry, mayBeListed)
		mayBeListed = true
		if err == nil {
			v.entry.Store(uint64(version))
			return
		}
		v.log.Warn().Err(err).Msg("vm-not-listed")
		clock.Sleep(ctx, backoff.Next(rand.Float64()))
	}
}

func (v *VM) replaceEntry(ctx context.Context, entry platform.ListedVM, mayBeListed bool) (platform.StoreVersion, error) {
	var old platform.StoreVersion
	if mayBeListed {
		var err error
		if old, err = v.discovery.Registry.EntryVersion(ctx, entry.Name); err != nil {
			return 0, err
		}
	}
	return v.discovery.Registry.Enter(ctx, entry, old)
}

// withdraw takes this VM off the list of VMs.
func (v *VM) withdraw(ctx context.Context) {
	entry := platform.StoreVersion(v.entry.Load())
	if v.discovery == nil || entry == 0 {
		return
	}
	if err := v.discovery.Registry.Withdraw(ctx, v.settings.Message.Vm.Name, entry); err != nil {
		v.log.Warn().Err(err).Msg("vm-not-withdrawn")
	}
}

// tell changes the control state by what a source told.
func (v *VM) tell(ctx context.Context, f func(now ident.Instant, core *control.Core)) {
	v.control.post(ctx, event{kind: told, tell: f})
}

// A dependency logs when a source is lost and when it is back.
type dependency struct {
	vm   *VM
	kind string
	lost bool
}

func (d *dependency) failed(err error) {
	if !d.lost {
		d.lost = true
		d.vm.log.Warn().Str("kind", d.kind).Err(err).Msg("dependency-lost")
	}
}

func (d *dependency) heard() {
	if d.lost {
		d.lost = false
		d.vm.log.Info().Str("kind", d.kind).Msg("dependency-regained")
	}
}

func (v *VM) replicaTaker() watch.Taker[catalogue.Replica] {
	d := &dependency{vm: v, kind: v.discovery.Replicas.Kind()}
	return watch.Taker[catalogue.Replica]{
		Listed: func(ctx context.Context, items []platform.Change[catalogue.Replica]) {
			d.heard()
			list := make([]catalogue.Replica, 0, len(items))
			for _, i := range items {
				list = append(list, i.Value)
			}
			v.log.Info().Int("replicas", len(list)).Msg("replicas-listed")
			v.tell(ctx, func(now ident.Instant, core *control.Core) { core.ReplicasListed(now, list) })
		},
		Changed: func(ctx context.Context, changes []platform.Change[catalogue.Replica]) {
			d.heard()
			told := make([]catalogue.Change, 0, len(changes))
			for _, c := range changes {
				one := catalogue.Change{Replica: c.Value, Deleted: c.Deleted}
				one.ID = ident.ReplicaID(c.Name)
				told = append(told, one)
				v.log.Info().Str("replica", c.Name).Str("service", string(c.Value.Service)).Bool("leaving", c.Value.Leaving).
					Bool("gone", c.Deleted).Msg("replica-changed")
			}
			v.tell(ctx, func(now ident.Instant, core *control.Core) { core.ReplicasChanged(now, told) })
		},
		Failed: func(ctx context.Context, _ string, err error) {
			d.failed(err)
			v.tell(ctx, func(_ ident.Instant, core *control.Core) { core.ReplicasFailed() })
		},
	}
}

func (v *VM) configurationTaker() watch.Taker[catalogue.Configuration] {
	d := &dependency{vm: v, kind: v.discovery.Configurations.Kind()}
	take := func(ctx context.Context, changes []platform.Change[catalogue.Configuration]) {
		d.heard()
		for _, c := range changes {
			if c.Deleted {
				continue
			}
			v.tell(ctx, func(now ident.Instant, core *control.Core) { core.RoutesRead(now, c.Value) })
		}
	}
	return watch.Taker[catalogue.Configuration]{
		Listed: take, Changed: take,
		Failed: func(_ context.Context, _ string, err error) { d.failed(err) },
	}
}

func (v *VM) presetTaker() watch.Taker[[]byte] {
	d := &dependency{vm: v, kind: v.discovery.Presets.Kind()}
	take := func(ctx context.Context, changes []platform.Change[[]byte]) {
		d.heard()
		for _, c := range changes {
			if c.Deleted {
				continue
			}
			held, err := codec.UnmarshalConfiguration(c.Value)
			if err != nil {
				v.log.Error().Err(err).Msg("presets-not-read")
				continue
			}
			v.tell(ctx, func(now ident.Instant, core *control.Core) { core.ConfigurationRead(now, held) })
		}
	}
	return watch.Taker[[]byte]{
		Listed: take, Changed: take,
		Failed: func(ctx context.Context, _ string, err error) {
			d.failed(err)
			v.tell(ctx, func(now ident.Instant, core *control.Core) { core.PlatformFailed(now, err.Error()) })
		},
	}
}

func (v *VM) zoneTaker() watch.Taker[ident.ZoneID] {
	d := &dependency{vm: v, kind: v.discovery.ZonesOut.Kind()}
	out := map[ident.ZoneID]bool{}
	publish := func(ctx context.Context) {
		zones := make([]ident.ZoneID, 0, len(out))
		for z := range out {
			zones = append(zones, z)
		}
		v.log.Info().Interface("zones", zones).Msg("zones-out")
		v.tell(ctx, func(now ident.Instant, core *control.Core) { core.ZonesOutRead(now, zones) })
	}
	return watch.Taker[ident.ZoneID]{
		Listed: func(ctx context.Context, items []platform.Change[ident.ZoneID]) {
			d.heard()
			clear(out)
			for _, i := range items {
				out[i.Value] = true
			}
			publish(ctx)
		},
		Changed: func(ctx context.Context, changes []platform.Change[ident.ZoneID]) {
			d.heard()
			for _, c := range changes {
				if c.Deleted {
					delete(out, ident.ZoneID(c.Name))
				} else {
					out[c.Value] = true
				}
			}
			if len(changes) > 0 {
				publish(ctx)
			}
		},
		Failed: func(_ context.Context, _ string, err error) { d.failed(err) },
	}
}
