// Package traffic runs a decision core: one goroutine owns the core, and one
// goroutine for each attempt talks to an upstream.
package traffic

import (
	"context"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/serve/clock"
)

const (
	inboxSize = 8192
	// batchSize bounds the events taken before actions are carried out.
	batchSize = 128
)

// An Upstream carries out one attempt. It returns when the attempt ended or
// the context is done; the returned Reply's Attempt is that of the action.
type Upstream interface {
	Send(ctx context.Context, a *node.Action) node.Reply
}

// A Claimer claims request keys on the platform.
type Claimer interface {
	Claim(ctx context.Context, key ident.RequestKey) booking.ClaimResult
}

// A Forwarder passes a request to the VM that issued its ticket; it returns
// nil when that VM did not answer.
type Forwarder interface {
	Forward(ctx context.Context, vm ident.VMID, a node.Arrival) *node.Answer
}

// A Config holds the parts that a Lane is assembled from.
type Config struct {
	Core      *node.Core
	Clock     clock.Clock
	Board     *view.Publisher
	Upstream  Upstream
	Claimer   Claimer
	Forwarder Forwarder
	// Reports receives evidence for control; when full, reports are dropped.
	Reports chan<- node.News
	// Observe is called in the lane's goroutine for each answer; may be nil.
	Observe func(a node.Arrival, answer *node.Answer)
}

type eventKind uint8

const (
	arrived eventKind = iota
	replied
	cancelled
	claimed
	forwarded
	issue
	inspect
	cutOff
)

type event struct {
	kind    eventKind
	arrival node.Arrival
	reply   node.Reply
	query   ident.QueryID
	key     ident.RequestKey
	claim   booking.ClaimResult
	answer  *node.Answer
	waiter  *waiter
	ticket  chan ident.RequestKey
	report  chan node.Report
	cutOff  bool
}

// A waiter is a caller's request in the lane.
type waiter struct {
	// Answer has room for the one answer.
	answer chan *node.Answer
	// Query is written and read by the lane's goroutine only.
	query   ident.QueryID
	arrival node.Arrival
}

type running struct {
	query  ident.QueryID
	cancel context.CancelFunc
}

// A Loop runs one decision core.
type Loop struct {
	config  Config
	changed <-chan struct{}
	inbox   chan event
	done    chan struct{}
	// The maps below belong to the lane's goroutine.
	waiters  map[ident.QueryID]*waiter
	attempts map[ident.AttemptID]running
	seen     *view.View
	buf      []node.Action
	// Workers counts the goroutines that will still send to the inbox.
	workers int
	dropped atomic.Uint64
	load    atomic.Int64
	// Stranded is the core's word at the last event.
	stranded atomic.Bool
}

// New returns a Lane that is not running. It subscribes to the board.
func New(config Config) *Loop {
	return &Loop{
		config:   config,
		changed:  config.Board.Subscribe(),
		inbox:    make(chan event, inboxSize),
		done:     make(chan struct{}),
		waiters:  map[ident.QueryID]*waiter{},
		attempts: map[ident.AttemptID]running{},
	}
}

// Start runs the lane until the context is done. Done reports the end.
func (l *Loop) Start(ctx context.Context) { go l.run(ctx) }

// Done is closed after the lane and its goroutines have ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Dropped returns the number of reports that control had no room for.
func (l *Loop) Dropped() uint64 { return l.dropped.Load() }

// Stranded reports whether most requests of late were not served.
func (l *Loop) Stranded() bool { return l.stranded.Load() }

// SetCutOff tells the core whether the VM is cut off.
func (l *Loop) SetCutOff(cut bool) { l.post(event{kind: cutOff, cutOff: cut}) }

// InFlight returns the number of queries that are not answered.
func (l *Loop) InFlight() int { return int(l.load.Load()) }

// Ask answers one request. It returns nil only when the lane has ended. When
// ctx is done first the query is cancelled, and the answer tells what is known.
func (l *Loop) Ask(ctx context.Context, a node.Arrival) *node.Answer {
	w := &waiter{answer: make(chan *node.Answer, 1), arrival: a}
	if !l.post(event{kind: arrived, arrival: a, waiter: w}) {
		return nil
	}
	select {
	case answer := <-w.answer:
		return answer
	case <-l.done:
		return nil
	case <-ctx.Done():
	}
	l.post(event{kind: cancelled, waiter: w})
	select {
	case answer := <-w.answer:
		return answer
	case <-l.done:
		return nil
	}
}

// Issue returns a new ticket, or false when none can be issued.
func (l *Loop) Issue(ctx context.Context) (ident.RequestKey, bool) {
	ticket := make(chan ident.RequestKey, 1)
	if !l.post(event{kind: issue, ticket: ticket}) {
		return "", false
	}
	select {
	case key := <-ticket:
		return key, key != ""
	case <-l.done:
	case <-ctx.Done():
	}
	return "", false
}

// Inspect returns the state of the core, or false when the lane has ended.
func (l *Loop) Inspect(ctx context.Context) (node.Report, bool) {
	report := make(chan node.Report, 1)
	if !l.post(event{kind: inspect, report: report}) {
		return node.Report{}, false
	}
	select {
	case r := <-report:
		return r, true
	case <-l.done:
	case <-ctx.Done():
	}
	return node.Report{}, false
}

func (l *Loop) post(e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-l.done:
		return false
	}
}

func (l *Loop) run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	for {
		select {
		case e := <-l.inbox:
			l.handleBatch(e)
		case <-l.changed:
		case <-timer.C:
		case <-ctx.Done():
			stop()
			l.drainWorkers()
			return
		}
		l.install()
		l.config.Core.Tick(l.config.Clock.Now())
		l.carryOut(work)
		l.load.Store(int64(l.config.Core.InFlight()))
		l.stranded.Store(l.config.Core.MostlyUnserved(l.config.Clock.Now()))
		timer.Reset(l.config.Clock.Until(l.config.Core.Wake()))
	}
}

// drainWorkers takes the last events of the goroutines that the lane owns.
func (l *Loop) drainWorkers() {
	for l.workers > 0 {
		switch e := <-l.inbox; e.kind {
		case replied, claimed, forwarded:
			l.workers--
		case arrived, cancelled, issue, inspect, cutOff:
		}
	}
}

func (l *Loop) handleBatch(e event) {
	l.install()
	l.handle(e)
	for range batchSize {
		select {
		case e = <-l.inbox:
			l.handle(e)
		default:
			return
		}
	}
}

func (l *Loop) install() {
	if v := l.config.Board.Current(); v != l.seen {
		l.seen = v
		l.config.Core.Install(l.config.Clock.Now(), v)
	}
}

func (l *Loop) handle(e event) {
	now := l.config.Clock.Now()
	core := l.config.Core
	switch e.kind {
	case arrived:
		e.waiter.query = core.Arrive(now, e.arrival)
		l.waiters[e.waiter.query] = e.waiter
	case replied:
		l.workers--
		if r, ok := l.attempts[e.reply.Attempt]; ok {
			r.cancel()
			delete(l.attempts, e.reply.Attempt)
		}
		core.Reply(now, e.reply)
	case cancelled:
		if l.waiters[e.waiter.query] == e.waiter {
			core.Cancel(now, e.waiter.query)
		}
	case claimed:
		l.workers--
		core.Claimed(now, e.query, e.key, e.claim)
	case forwarded:
		l.workers--
		core.Forwarded(now, e.query, e.answer)
	case issue:
		key, _ := core.Issue(now)
		e.ticket <- key
	case inspect:
		e.report <- core.Report(now)
	case cutOff:
		core.SetCutOff(e.cutOff)
	}
}

func (l *Loop) carryOut(ctx context.Context) {
	l.buf = l.config.Core.Drain(l.buf[:0])
	for i := range l.buf {
		a := &l.buf[i]
		switch a.Kind {
		case node.Send:
			l.send(ctx, *a)
		case node.Abort:
			if r, ok := l.attempts[a.Attempt]; ok {
				r.cancel()
				delete(l.attempts, a.Attempt)
			}
		case node.Finish:
			l.answer(a)
		case node.Claim:
			l.claim(ctx, *a)
		case node.Forward:
			l.forward(ctx, *a)
		case node.Notify:
			l.tell(a.News)
		}
	}
	clear(l.buf)
}

func (l *Loop) answer(a *node.Action) {
	w := l.waiters[a.Query]
	if w == nil {
		return
	}
	delete(l.waiters, a.Query)
	if l.config.Observe != nil {
		l.config.Observe(w.arrival, a.Answer)
	}
	w.answer <- a.Answer
}

func (l *Loop) tell(n node.News) {
	select {
	case l.config.Reports <- n:
	default:
		l.dropped.Add(1)
	}
}

func (l *Loop) send(ctx context.Context, a node.Action) {
	// The core aborts the attempt at its deadline.
	ctx, cancel := context.WithCancel(ctx)
	l.attempts[a.Attempt] = running{a.Query, cancel}
	l.workers++
	go func() {
		reply := l.config.Upstream.Send(ctx, &a)
		l.inbox <- event{kind: replied, reply: reply}
	}()
}

func (l *Loop) claim(ctx context.Context, a node.Action) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline.Time())
	l.workers++
	go func() {
		defer cancel()
		result := l.config.Claimer.Claim(ctx, a.Key)
		l.inbox <- event{kind: claimed, query: a.Query, key: a.Key, claim: result}
	}()
}

func (l *Loop) forward(ctx context.Context, a node.Action) {
	w := l.waiters[a.Query]
	if w == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline.Time())
	arrival := w.arrival
	arrival.Deadline = a.Deadline.Sub(l.config.Clock.Now())
	l.workers++
	go func() {
		defer cancel()
		answer := l.config.Forwarder.Forward(ctx, a.VM, arrival)
		l.inbox <- event{kind: forwarded, query: a.Query, answer: answer}
	}()
}
