package vm

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/mirror"
)

const (
	inboxSize   = 1024
	newsSize    = 1024
	repairsSize = 1
)

type eventKind uint8

const (
	messageReceived eventKind = iota
	configurationRead
	platformFailed
	vmsListed
	configurationChanged
	statusRequested
	stopping
	updateRequested
)

type event struct {
	kind          eventKind
	message       *control.Message
	configuration config.Configuration
	reason        string
	vms           []control.ListedVM
	status        chan control.Status
	// update applies what a watched source reported to the control state.
	update func(now ident.Instant, core *control.Core)
}

// A sender queues a message to another VM without blocking.
type sender interface {
	Send(vm ident.VMID, address string, body []byte)
}

// A controlLoop is the event loop that owns the control.Core. Other goroutines access
// the control state only through its channels.
type controlLoop struct {
	core  *control.Core
	clock clock.Clock
	views *view.Publisher
	peers sender
	log   zerolog.Logger
	// routesFreshness describes the routes that were read last; nil if they are not read from
	// the store. It must be set before run.
	routesFreshness func() mirror.Freshness
	// news receives evidence from traffic, which drops it while the channel is full.
	news  chan node.News
	inbox chan event
	// shouldWatch receives true when this VM must watch the platform and false when it
	// must stop. It holds only the latest value.
	shouldWatch chan bool
	// repairs holds the latest configuration that must be written to the store.
	repairs         chan config.Configuration
	done            chan struct{}
	droppedMessages atomic.Uint64
	// The fields below are only accessed by the goroutine of the loop.
	watching             bool
	configurationVersion ident.Version
	routesVersion        ident.RoutesVersion
	ready                bool
	actions              []control.Action
}

func newControlLoop(core *control.Core, c clock.Clock, views *view.Publisher, peers sender, log zerolog.Logger) *controlLoop {
	return &controlLoop{
		core: core, clock: c, views: views, peers: peers, log: log,
		news:        make(chan node.News, newsSize),
		inbox:       make(chan event, inboxSize),
		shouldWatch: make(chan bool, 1),
		repairs:     make(chan config.Configuration, repairsSize),
		done:        make(chan struct{}),
	}
}

// run handles events and performs the core's actions until the context is done.
func (l *controlLoop) run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	l.performActions()
	for {
		select {
		case e := <-l.inbox:
			l.handle(e)
		case n := <-l.news:
			l.logEvidence(n)
			l.core.Report(l.clock.Now(), n)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		l.core.Tick(l.clock.Now())
		l.performActions()
		timer.Reset(l.clock.Until(l.core.Wake()))
	}
}

func (l *controlLoop) logEvidence(n node.News) {
	if n.Kind == node.Rollout {
		return
	}
	line := l.log.Info().Str("kind", string(n.Kind)).Str("replica", string(n.Replica))
	if n.Kind == node.Crash {
		line.Str("request-fingerprint", strconv.FormatUint(uint64(n.Fingerprint), 16))
	}
	line.Msg("upstream-evidence")
}

func (l *controlLoop) handle(e event) {
	now := l.clock.Now()
	switch e.kind {
	case messageReceived:
		l.core.Receive(now, e.message)
	case configurationRead:
		l.core.ConfigurationRead(now, e.configuration)
	case platformFailed:
		l.core.PlatformFailed(now, e.reason)
	case vmsListed:
		l.core.VMsListed(now, e.vms)
	case configurationChanged:
		l.core.ConfigurationChanged(now, e.configuration)
	case statusRequested:
		e.status <- l.core.Status()
	case stopping:
		l.core.Leave(now)
	case updateRequested:
		e.update(now, l.core)
	}
}

func (l *controlLoop) performActions() {
	l.actions = l.core.Drain(l.actions[:0])
	for i := range l.actions {
		a := &l.actions[i]
		switch a.Kind {
		case control.Send:
			l.send(a)
		case control.Repair:
			l.repair(*a.Configuration)
		case control.Publish:
			l.publish(a.View)
		}
	}
	clear(l.actions)
	if w := l.core.Watches(); w != l.watching {
		l.watching = w
		replaceLatest(l.shouldWatch, w)
		l.log.Info().Bool("watching", w).Msg("platform-watch-turn")
	}
}

func (l *controlLoop) send(a *control.Action) {
	body, err := codec.MarshalMessage(l.clock.Now(), a.Message)
	if err != nil {
		l.log.Error().Err(err).Msg("message-not-encoded")
		return
	}
	l.peers.Send(a.To, a.Address, body)
}

func (l *controlLoop) publish(v *view.View) {
	if v.RoutesVersion != l.routesVersion {
		l.routesVersion = v.RoutesVersion
		line := l.log.Info().Uint64("version", uint64(v.RoutesVersion)).Int("routes", v.Routes.Len())
		if l.routesFreshness != nil {
			f := l.routesFreshness()
			line = withOrigin(line.Uint64("store-version", uint64(f.Version)), f)
		}
		line.Msg("routes-in-force")
	}
	if v.Ready != l.ready {
		l.ready = v.Ready
		l.log.Info().Bool("ready", v.Ready).Uint64("routes-version", uint64(v.RoutesVersion)).Msg("readiness")
	}
	if v.Version != l.configurationVersion {
		l.configurationVersion = v.Version
		l.log.Info().Uint32("version", uint32(v.Version)).Str("preset", string(v.Preset.Name)).
			Int("senders", v.VMs).Bool("out", v.Out).Msg("configuration-in-force")
	}
	l.views.Publish(v)
}

func (l *controlLoop) repair(c config.Configuration) {
	l.log.Warn().Uint32("version", uint32(c.Version)).Msg("platform-holds-older-version")
	replaceLatest(l.repairs, c)
}

// replaceLatest replaces the value in a channel of capacity one.
func replaceLatest[T any](c chan T, v T) {
	select {
	case <-c:
	default:
	}
	select {
	case c <- v:
	default:
	}
}

// post queues an event. It returns false if the loop has ended or ctx is done first.
func (l *controlLoop) post(ctx context.Context, e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

// status returns a copy of the control state; it is empty if the loop has ended or ctx
// is done.
func (l *controlLoop) status(ctx context.Context) control.Status {
	status := make(chan control.Status, 1)
	if !l.post(ctx, event{kind: statusRequested, status: status}) {
		return control.Status{}
	}
	select {
	case s := <-status:
		return s
	case <-ctx.Done():
	case <-l.done:
	}
	return control.Status{}
}

// receive decodes a message of a peer and queues it. While the inbox is full, it drops
// the message, so that the transport never blocks; later messages carry the same state.
func (l *controlLoop) receive(from ident.VMID, body []byte) {
	m, err := codec.UnmarshalMessage(l.clock.Now(), body)
	if err != nil || m.From != from {
		l.log.Warn().Str("from", string(from)).Msg("peer-message-refused")
		return
	}
	select {
	case l.inbox <- event{kind: messageReceived, message: m}:
	default:
		l.droppedMessages.Add(1)
	}
}

// watchListener forwards the events of the watch.Watcher to the control loop.
type watchListener struct {
	ctx  context.Context
	loop *controlLoop
	// updateMirrors is also called with each list of VMs.
	updateMirrors func([]platform.ListedVM)
}

func (l watchListener) ConfigurationRead(c config.Configuration) {
	l.loop.post(l.ctx, event{kind: configurationRead, configuration: c})
}

func (l watchListener) PlatformFailed(reason string) {
	l.loop.log.Warn().Str("error", reason).Msg("platform-failed")
	l.loop.post(l.ctx, event{kind: platformFailed, reason: reason})
}

func (l watchListener) VMsListed(vms []platform.ListedVM) {
	l.updateMirrors(vms)
	list := make([]control.ListedVM, len(vms))
	for i, vm := range vms {
		list[i] = control.ListedVM{
			Name: vm.Name, Leaving: vm.Leaving, Zone: ident.ZoneID(vm.Zone), Address: vm.Address,
			Incarnation: ident.Incarnation(vm.Incarnation),
		}
	}
	l.loop.post(l.ctx, event{kind: vmsListed, vms: list})
}

func (l watchListener) ConfigurationInForce(ctx context.Context) config.Configuration {
	return l.loop.status(ctx).Configuration
}
