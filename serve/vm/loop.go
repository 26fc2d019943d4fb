package vm

import (
	"context"
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
)

const (
	inboxSize   = 1024
	reportsSize = 1024
	repairsSize = 1
)

type eventKind uint8

const (
	received eventKind = iota
	platformHeld
	platformFailed
	listed
	operated
	inspected
	left
	told
)

type event struct {
	kind          eventKind
	message       *control.Message
	configuration config.Configuration
	why           string
	vms           []control.ListedVM
	status        chan control.Status
	// Tell changes the control state by what was learned.
	tell func(now ident.Instant, core *control.Core)
}

// A sender queues a message to another VM without blocking.
type sender interface {
	Send(vm ident.VMID, address string, body []byte)
}

// A loop is the one goroutine that owns control state. Others reach it through
// its channels only.
type loop struct {
	core  *control.Core
	clock clock.Clock
	board *view.Publisher
	peers sender
	log   zerolog.Logger
	// Reports receives evidence from traffic; traffic never waits on it.
	reports chan node.News
	inbox   chan event
	// Turn tells the watcher whether to watch; it holds the latest word only.
	turn chan bool
	// Repairs holds the latest configuration that the store lacks.
	repairs chan config.Configuration
	done    chan struct{}
	dropped atomic.Uint64
	// Watching and version belong to the loop's goroutine.
	watching bool
	version  ident.Version
	routes   ident.RoutesVersion
	ready    bool
	buf      []control.Action
}

func newLoop(core *control.Core, c clock.Clock, board *view.Publisher, peers sender, log zerolog.Logger) *loop {
	return &loop{
		core: core, clock: c, board: board, peers: peers, log: log,
		reports: make(chan node.News, reportsSize),
		inbox:   make(chan event, inboxSize),
		turn:    make(chan bool, 1),
		repairs: make(chan config.Configuration, repairsSize),
		done:    make(chan struct{}),
	}
}

// run owns the core until the context is done.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	l.carryOut()
	for {
		select {
		case e := <-l.inbox:
			l.handle(e)
		case n := <-l.reports:
			l.log.Info().Str("kind", string(n.Kind)).Str("replica", string(n.Replica)).Msg("upstream-evidence")
			l.core.Report(l.clock.Now(), n)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		l.core.Tick(l.clock.Now())
		l.carryOut()
		timer.Reset(l.clock.Until(l.core.Wake()))
	}
}

func (l *loop) handle(e event) {
	now := l.clock.Now()
	switch e.kind {
	case received:
		l.core.Receive(now, e.message)
	case platformHeld:
		l.core.ConfigurationRead(now, e.configuration)
	case platformFailed:
		l.core.PlatformFailed(now, e.why)
	case listed:
		l.core.VMsListed(now, e.vms)
	case operated:
		l.core.ConfigurationChanged(now, e.configuration)
	case inspected:
		e.status <- l.core.Status()
	case left:
		l.core.Leave(now)
	case told:
		e.tell(now, l.core)
	}
}

func (l *loop) carryOut() {
	l.buf = l.core.Drain(l.buf[:0])
	for i := range l.buf {
		a := &l.buf[i]
		switch a.Kind {
		case control.Send:
			l.send(a)
		case control.Repair:
			l.repair(*a.Configuration)
		case control.Publish:
			l.publish(a.View)
		}
	}
	clear(l.buf)
	if w := l.core.Watches(); w != l.watching {
		l.watching = w
		latest(l.turn, w)
		l.log.Info().Bool("watching", w).Msg("platform-watch-turn")
	}
}

func (l *loop) send(a *control.Action) {
	body, err := codec.MarshalMessage(l.clock.Now(), a.Message)
	if err != nil {
		l.log.Error().Err(err).Msg("message-not-encoded")
		return
	}
	l.peers.Send(a.To, a.Address, body)
}

func (l *loop) publish(v *view.View) {
	if v.RoutesVersion != l.routes {
		l.routes = v.RoutesVersion
		l.log.Info().Uint64("version", uint64(v.RoutesVersion)).Int("routes", v.Routes.Len()).Msg("routes-in-force")
	}
	if v.Ready != l.ready {
		l.ready = v.Ready
		l.log.Info().Bool("ready", v.Ready).Uint64("routes-version", uint64(v.RoutesVersion)).Msg("readiness")
	}
	if v.Version != l.version {
		l.version = v.Version
		l.log.Info().Uint32("version", uint32(v.Version)).Str("preset", string(v.Preset.Name)).
			Int("senders", v.VMs).Bool("out", v.Out).Msg("configuration-in-force")
	}
	l.board.Publish(v)
}

func (l *loop) repair(c config.Configuration) {
	l.log.Warn().Uint32("version", uint32(c.Version)).Msg("platform-holds-older-version")
	latest(l.repairs, c)
}

// latest replaces what a channel of room one holds.
func latest[T any](c chan T, v T) {
	select {
	case <-c:
	default:
	}
	select {
	case c <- v:
	default:
	}
}

func (l *loop) post(ctx context.Context, e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

// status returns a copy of the control state, empty when the loop has ended.
func (l *loop) status(ctx context.Context) control.Status {
	status := make(chan control.Status, 1)
	if !l.post(ctx, event{kind: inspected, status: status}) {
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

// receive takes an encoded message of a peer. Peers wait for nothing: when the
// loop is behind, the message is dropped, and the next one makes up for it.
func (l *loop) receive(from ident.VMID, body []byte) {
	m, err := codec.UnmarshalMessage(l.clock.Now(), body)
	if err != nil || m.From != from {
		l.log.Warn().Str("from", string(from)).Msg("peer-message-refused")
		return
	}
	select {
	case l.inbox <- event{kind: received, message: m}:
	default:
		l.dropped.Add(1)
	}
}

// listener passes on what the watcher learns.
type listener struct {
	ctx  context.Context
	loop *loop
	// Mirrors takes the list of VMs too.
	mirrors func([]platform.ListedVM)
}

func (l listener) Platform(c config.Configuration) {
	l.loop.post(l.ctx, event{kind: platformHeld, configuration: c})
}

func (l listener) PlatformFailed(why string) {
	l.loop.log.Warn().Str("error", why).Msg("platform-failed")
	l.loop.post(l.ctx, event{kind: platformFailed, why: why})
}

func (l listener) Listed(vms []platform.ListedVM) {
	l.mirrors(vms)
	list := make([]control.ListedVM, len(vms))
	for i, vm := range vms {
		list[i] = control.ListedVM{
			Name: vm.Name, Leaving: vm.Leaving, Zone: ident.ZoneID(vm.Zone), Address: vm.Address,
			Incarnation: ident.Incarnation(vm.Incarnation),
		}
	}
	l.loop.post(l.ctx, event{kind: listed, vms: list})
}

func (l listener) Known(ctx context.Context) config.Configuration {
	return l.loop.status(ctx).Configuration
}
