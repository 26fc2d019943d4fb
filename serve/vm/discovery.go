package vm

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/gate"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/traffic"
	"carawaycross.example/carawaycross/serve/watch"
)

// vmListInterval is the time between two reads of the list of VMs. Each VM that is
// added or removed changes the shares of the others; the shares leave room for one
// more VM.
const vmListInterval = 10 * time.Second

// firstStartDelay is the time for all VMs of a new deployment, which start within a
// second of each other, to be added to the list of VMs.
const firstStartDelay = 2500 * time.Millisecond

// vmListTimeout is how long a starting VM waits for the list of VMs. It is many times
// the usual response time of the store.
const vmListTimeout = 100 * time.Millisecond

// A VM reads the store directly if it may take longer than the fraction
// maxDetectionFraction of Discovery.ApplyWithin to detect that its mirror receives
// nothing from the store.
const maxDetectionFraction = 0.4

// maxAgeFraction is the part of Discovery.ApplyWithin that objects may age before a VM calls
// the store. With the spread between VMs, a question that is not answered, the pause after a
// change and the call, a change is in force within half of that time.
const maxAgeFraction = 0.3

// checkFraction is the part of Discovery.ApplyWithin after which a VM that reads the store
// checks for changes that a watch did not return. It is less than maxAgeFraction, so that
// objects that are current do not reach the maximum age.
const checkFraction = 0.25

// An UpstreamClient sends attempts to upstreams.
type UpstreamClient interface {
	traffic.Upstream
	// Totals returns the counters for the metrics.
	Totals() any
	Close() error
}

// A Registry stores the list of VMs.
type Registry interface {
	// EntryVersion returns the version of a VM's entry, or 0 if there is none.
	EntryVersion(ctx context.Context, name string) (platform.StoreVersion, error)
	// Enter replaces the entry of version old, or adds one if old is 0. It returns the
	// version to pass to Withdraw.
	Enter(ctx context.Context, vm platform.ListedVM, old platform.StoreVersion) (platform.StoreVersion, error)
	// Withdraw removes the given version of a VM's entry.
	Withdraw(ctx context.Context, name string, version platform.StoreVersion) error
}

// A Discovery connects a VM to the sources of routes and replicas, which may change
// while it runs. All fields but Rollouts must be set.
type Discovery struct {
	UpstreamClient UpstreamClient
	// ReplyMemory is the budget in which UpstreamClient reserves the bodies of replies.
	ReplyMemory *body.Budget
	Registry    Registry
	// Presets reads the object that holds the presets.
	Presets        watch.Probeable[[]byte]
	Replicas       watch.Probeable[catalogue.Replica]
	Configurations watch.Probeable[catalogue.Configuration]
	ZonesOut       watch.Probeable[ident.ZoneID]
	// Rollouts holds the orders that move services to other versions.
	Rollouts Rollouts
	// ApplyWithin is the time within which a change in the store must be in force.
	ApplyWithin time.Duration
	// Region holds the availability zones of the VM's region.
	Region []ident.ZoneID
	// FirstStart is true if the whole deployment starts for the first time.
	FirstStart bool
	// Front returns the HTTP handler for callers. leaving returns true while callers
	// should open their next connection to another VM, and outdated while the VM has no path
	// to the store.
	Front func(loop *traffic.Loop, views *view.Publisher, leaving, outdated func() bool) http.Handler
	// Ready returns the HTTP handler for the readiness check of the load balancer.
	Ready func(ready func() bool) http.Handler
}

// A claimer is a traffic.Claimer that can be closed.
type claimer interface {
	traffic.Claimer
	Close() error
}

// noClaims is the claimer of a VM that serves no requests with request keys.
type noClaims struct{}

func (noClaims) Claim(context.Context, ident.RequestKey) booking.ClaimResult {
	return booking.Unavailable
}

func (noClaims) Close() error { return nil }

// startDiscovery starts the servers and the readers of a VM whose routes and replicas
// come from the store, and adds the VM to the list of VMs. startMirrors must have been
// called.
func (v *VM) startDiscovery(ctx context.Context, self roster.Member) error {
	d, m := v.discovery, v.settings.Message.Discovery
	front, err := gate.Listen(context.Background(), m.Front)
	if err != nil {
		return &Error{"listen", CannotStart, err}
	}
	ready, err := gate.Listen(context.Background(), m.Ready)
	if err != nil {
		_ = front.Close()
		return &Error{"listen", CannotStart, err}
	}
	leaving := func() bool { return v.apiServer.Leaving() || v.cutOff.Load() }
	v.serve(ctx, v.gates.front, front, d.Front(v.traffic, v.views, leaving, v.mirrors.readers.configurations.Outdated))
	v.serve(ctx, v.gates.ready, ready, d.Ready(func() bool { return v.apiServer.Ready() && !v.cutOff.Load() }))
	v.group.Go(ctx, v.monitorReach)
	v.group.Go(ctx, v.mirrors.prober.Run)
	v.group.Go(ctx, v.monitorAges)
	r := &v.mirrors.readers
	v.group.Go(ctx, func(ctx context.Context) { followReader(ctx, v, r.replicas, v.replicaHandler()) })
	v.group.Go(ctx, func(ctx context.Context) { followReader(ctx, v, r.configurations, v.routesHandler()) })
	v.group.Go(ctx, func(ctx context.Context) { followReader(ctx, v, r.zonesOut, v.zoneHandler()) })
	v.group.Go(ctx, func(ctx context.Context) { followReader(ctx, v, r.presets, v.presetHandler()) })
	v.startRollouts(ctx)
	v.group.Go(ctx, v.watcher.PollVMs)
	v.group.Go(ctx, func(ctx context.Context) { v.keepEntry(ctx, self) })
	return nil
}

// followReader passes the objects of a reader and their changes to a handler. It first
// waits for the list of VMs, so that a starting VM reads through a mirror. At the first
// start of a deployment, when there are no callers yet, it waits until the VMs have had
// time to add themselves to the list.
func followReader[T any](ctx context.Context, v *VM, r *mirror.Reader[T], handler watch.Handler[T]) {
	switch {
	case v.mirrors.alwaysReadStore:
	case v.discovery.FirstStart:
		clock.Sleep(ctx, firstStartDelay)
	default:
		timer := time.NewTimer(vmListTimeout)
		defer timer.Stop()
		select {
		case <-v.mirrors.selector.Ready():
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	watch.Follow(ctx, r, handler)
}

// maxEntryDelay is the longest pause until a VM writes its entry again, so that the VMs of a
// large deployment do not all write at once.
const maxEntryDelay = 2 * time.Second

// maxEntryRetryDelay limits the pause after a write of the entry that failed: until the entry
// is in the list, other VMs refuse this one, which may have to read through them.
const maxEntryRetryDelay = time.Second

// keepEntry adds this VM to the list of VMs, and again after the store came back from a copy,
// which may lack the entry.
func (v *VM) keepEntry(ctx context.Context, self roster.Member) {
	for ctx.Err() == nil {
		v.addEntry(ctx, self)
		select {
		case <-v.entryLost:
			clock.Sleep(ctx, time.Duration(rand.Float64()*float64(maxEntryDelay)))
		case <-ctx.Done():
		}
	}
}

// storeRestored handles that the store came back from a copy, which each kind finds out for
// itself.
func (v *VM) storeRestored(ctx context.Context) {
	v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.StoreRestored(now) })
	select {
	case v.entryLost <- struct{}{}:
	default:
	}
}

// addEntry adds this VM to the list of VMs and retries until it succeeds.
func (v *VM) addEntry(ctx context.Context, self roster.Member) {
	backoff := platform.Backoff{MaxDelay: maxEntryRetryDelay}
	entry := platform.ListedVM{
		Name: string(self.VM), Zone: string(self.Zone), Address: self.Address, Incarnation: uint64(self.Incarnation),
		Certificate: v.mirrors.identity.Digest(),
	}
	// An earlier incarnation of the VM may have left its entry.
	mayBeListed := !v.discovery.FirstStart || v.entryVersion.Load() != 0
	for ctx.Err() == nil {
		version, err := v.replaceEntry(ctx, entry, mayBeListed)
		if err != nil && gaveUp(ctx, err) {
			return
		}
		mayBeListed = true
		if err == nil {
			v.entryVersion.Store(uint64(version))
			return
		}
		v.log.Warn().Err(err).Msg("vm-not-listed")
		clock.Sleep(ctx, backoff.Next(rand.Float64()))
	}
}

// replaceEntry adds an entry to the list of VMs. If mayBeListed is true, it first looks
// for an earlier entry of the VM, which it replaces.
func (v *VM) replaceEntry(ctx context.Context, entry platform.ListedVM, mayBeListed bool) (platform.StoreVersion, error) {
	var old platform.StoreVersion
	if mayBeListed {
		var err error
		if old, err = v.discovery.Registry.EntryVersion(ctx, entry.Name); err != nil {
			return 0, err
		}
		if old != 0 {
			v.wasListed.Store(true)
		}
	}
	return v.discovery.Registry.Enter(ctx, entry, old)
}

// withdrawEntry removes this VM from the list of VMs.
func (v *VM) withdrawEntry(ctx context.Context) {
	version := platform.StoreVersion(v.entryVersion.Load())
	if v.discovery == nil || version == 0 {
		return
	}
	if err := v.discovery.Registry.Withdraw(ctx, v.settings.Message.Vm.Name, version); err != nil {
		v.log.Warn().Err(err).Msg("vm-not-withdrawn")
	}
}

// updateControl queues f, which runs in the control loop and updates the control state.
func (v *VM) updateControl(ctx context.Context, f func(now ident.Instant, core *control.Core)) {
	v.control.post(ctx, event{kind: updateRequested, update: f})
}

// A dependency records whether the reads of a source fail. It logs when they start to
// fail and when they succeed again.
type dependency struct {
	vm   *VM
	kind string
	lost bool
}

func (d *dependency) recordFailure(err error) {
	if !d.lost && !isBehind(err) {
		d.lost = true
		d.vm.log.Warn().Str("kind", d.kind).Err(err).Msg("dependency-lost")
	}
}

func (d *dependency) recordSuccess() {
	if d.lost {
		d.lost = false
		d.vm.log.Info().Str("kind", d.kind).Msg("dependency-regained")
	}
}

func (v *VM) replicaHandler() watch.Handler[catalogue.Replica] {
	d := &dependency{vm: v, kind: v.discovery.Replicas.Kind()}
	return watch.Handler[catalogue.Replica]{
		Listed: func(ctx context.Context, items []platform.Change[catalogue.Replica]) {
			d.recordSuccess()
			list := make([]catalogue.Replica, 0, len(items))
			for _, i := range items {
				list = append(list, i.Value)
			}
			v.log.Info().Int("replicas", len(list)).Msg("replicas-listed")
			v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.ReplicasListed(now, list) })
		},
		Changed: func(ctx context.Context, changes []platform.Change[catalogue.Replica]) {
			d.recordSuccess()
			updates := make([]catalogue.Change, 0, len(changes))
			for _, c := range changes {
				update := catalogue.Change{Replica: c.Value, Deleted: c.Deleted}
				update.ID = ident.ReplicaID(c.Name)
				updates = append(updates, update)
			}
			v.logReplicaChanges(updates)
			v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.ReplicasChanged(now, updates) })
		},
		Restored: v.storeRestored,
		Failed: func(ctx context.Context, _ string, err error) {
			d.recordFailure(err)
			v.updateControl(ctx, func(_ ident.Instant, core *control.Core) { core.ReplicasFailed() })
		},
	}
}

// maxReplicaLines is the number of changed replicas up to which each has a line in the log.
// More would displace other events of the same second.
const maxReplicaLines = 40

func (v *VM) logReplicaChanges(changes []catalogue.Change) {
	if len(changes) > maxReplicaLines {
		v.log.Info().Int("replicas", len(changes)).Msg("replicas-changed")
		return
	}
	for i := range changes {
		c := &changes[i]
		v.log.Info().Str("replica", string(c.ID)).Str("service", string(c.Service)).Bool("leaving", c.Leaving).
			Bool("gone", c.Deleted).Msg("replica-changed")
	}
}

func (v *VM) routesHandler() watch.Handler[catalogue.Configuration] {
	d := &dependency{vm: v, kind: v.discovery.Configurations.Kind()}
	handle := func(ctx context.Context, changes []platform.Change[catalogue.Configuration]) {
		d.recordSuccess()
		for _, c := range changes {
			if c.Deleted {
				continue
			}
			v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.RoutesRead(now, c.Value) })
		}
	}
	return watch.Handler[catalogue.Configuration]{
		Listed: handle, Changed: handle, Restored: v.storeRestored,
		Failed: func(_ context.Context, _ string, err error) { d.recordFailure(err) },
	}
}

func (v *VM) presetHandler() watch.Handler[[]byte] {
	d := &dependency{vm: v, kind: v.discovery.Presets.Kind()}
	handle := func(ctx context.Context, changes []platform.Change[[]byte]) {
		d.recordSuccess()
		for _, c := range changes {
			if c.Deleted {
				continue
			}
			configuration, err := codec.UnmarshalConfiguration(c.Value)
			if err != nil {
				v.log.Error().Err(err).Msg("presets-not-read")
				continue
			}
			v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.ConfigurationRead(now, configuration) })
		}
	}
	return watch.Handler[[]byte]{
		Listed: handle, Changed: handle, Restored: v.storeRestored,
		Failed: func(ctx context.Context, _ string, err error) {
			d.recordFailure(err)
			v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.PlatformFailed(now, err.Error()) })
		},
	}
}

func (v *VM) zoneHandler() watch.Handler[ident.ZoneID] {
	d := &dependency{vm: v, kind: v.discovery.ZonesOut.Kind()}
	zonesOut := map[ident.ZoneID]bool{}
	publish := func(ctx context.Context) {
		zones := make([]ident.ZoneID, 0, len(zonesOut))
		for z := range zonesOut {
			zones = append(zones, z)
		}
		v.log.Info().Interface("zones", zones).Msg("zones-out")
		v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.ZonesOutRead(now, zones) })
	}
	return watch.Handler[ident.ZoneID]{
		Listed: func(ctx context.Context, items []platform.Change[ident.ZoneID]) {
			d.recordSuccess()
			clear(zonesOut)
			for _, i := range items {
				zonesOut[i.Value] = true
			}
			publish(ctx)
		},
		Changed: func(ctx context.Context, changes []platform.Change[ident.ZoneID]) {
			d.recordSuccess()
			for _, c := range changes {
				if c.Deleted {
					delete(zonesOut, ident.ZoneID(c.Name))
				} else {
					zonesOut[c.Value] = true
				}
			}
			if len(changes) > 0 {
				publish(ctx)
			}
		},
		Restored: v.storeRestored,
		Failed:   func(_ context.Context, _ string, err error) { d.recordFailure(err) },
	}
}
