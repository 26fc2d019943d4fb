// Package traffic runs the event loop that makes one VM's traffic decisions. The
// goroutine of a Loop owns a node.Core: it passes events to the core and performs
// the actions that the core returns. Calls that block (an attempt at an upstream,
// the claim of a request key, a forwarded request) run in goroutines of their own,
// which send their result to the loop as an event.
package traffic

import (
	"context"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/core/view"
	bodies "carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/serve/clock"
)

const (
	inboxSize = 8192
	// batchSize bounds the events handled before the resulting actions are performed.
	batchSize = 128
)

// An Upstream sends one attempt and returns its reply. It returns when the attempt
// has ended or the context is done. Reply.Attempt is the Attempt of the action.
type Upstream interface {
	Send(ctx context.Context, a *node.Action) node.Reply
}

// A Claimer claims request keys in the platform's store.
type Claimer interface {
	Claim(ctx context.Context, key ident.RequestKey) booking.ClaimResult
}

// A Forwarder sends a request to the VM that issued its ticket. It returns nil if
// that VM does not answer.
type Forwarder interface {
	Forward(ctx context.Context, vm ident.VMID, a node.Arrival) *node.Answer
}

// A UsageSharer asks another VM about the usage caps of tenants. It returns false if there
// is no answer.
type UsageSharer interface {
	ShareUsage(ctx context.Context, e *usage.Exchange) (usage.Message, bool)
}

// A Config holds the dependencies of a Loop.
type Config struct {
	Core      *node.Core
	Clock     clock.Clock
	Views     *view.Publisher
	Upstream  Upstream
	Claimer   Claimer
	Forwarder Forwarder
	Usage     UsageSharer
	// News receives evidence for control. While the channel is full, news is dropped.
	News chan<- node.News
	// Observe is called for each answer in the goroutine of the loop; it may be nil.
	Observe func(a node.Arrival, answer *node.Answer)
	// Memory is the budget in which replies reserve their bodies; nil if they do not.
	Memory *bodies.Budget
}

type eventKind uint8

const (
	arrived eventKind = iota
	replied
	cancelled
	claimed
	forwarded
	issueRequested
	inspectRequested
	cutOffChanged
	leaveRequested
	stopRequested
	usageAsked
	usageShared
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
	stopsAt ident.Instant
	usage   *usageEvent
}

// A waiter is a caller that waits for its answer.
type waiter struct {
	// answer has capacity for the one answer, so that the loop never blocks on it.
	answer chan *node.Answer
	// query is only accessed by the goroutine of the loop.
	query   ident.QueryID
	arrival node.Arrival
	// holder is nil if nobody counts the memory of the request.
	holder Holder
	// reserved is the memory of the replies to the request. The goroutine of the loop
	// writes it before it sends the answer.
	reserved ident.Bytes
}

// A runningAttempt is an attempt without a reply so far.
type runningAttempt struct {
	query  ident.QueryID
	cancel context.CancelFunc
}

// A Holder keeps the memory of a request reserved while attempts refer to it.
type Holder interface {
	Retain()
	// Done ends the use that a Retain began.
	Done()
}

// A Loop is the event loop that owns one node.Core. Once it is started, its methods may
// be called from several goroutines.
type Loop struct {
	config      Config
	viewChanged <-chan struct{}
	inbox       chan event
	done        chan struct{}
	// The fields from here to workers are only accessed by the goroutine of the loop.
	waiters   map[ident.QueryID]*waiter
	attempts  map[ident.AttemptID]runningAttempt
	installed *view.View
	actions   []node.Action
	// workers counts the goroutines that have not yet sent their result to the inbox.
	workers int
	// skew is that of the clock at the previous iteration.
	skew        time.Duration
	droppedNews atomic.Uint64
	inFlight    atomic.Int64
	// mostlyUnserved and mostlyServed are the results of the methods of Core after the
	// latest iteration.
	mostlyUnserved, mostlyServed atomic.Bool
}

// New returns a Loop that is not started. It subscribes to config.Views.
func New(config Config) *Loop {
	return &Loop{
		config:      config,
		viewChanged: config.Views.Subscribe(),
		inbox:       make(chan event, inboxSize),
		done:        make(chan struct{}),
		waiters:     map[ident.QueryID]*waiter{},
		attempts:    map[ident.AttemptID]runningAttempt{},
	}
}

// Start starts the loop, which runs until the context is done.
func (l *Loop) Start(ctx context.Context) { go l.run(ctx) }

// Done returns a channel that is closed after the loop and its goroutines have
// ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// DroppedNews returns the number of news items dropped because Config.News was full.
func (l *Loop) DroppedNews() uint64 { return l.droppedNews.Load() }

// MostlyUnserved reports whether most requests of the last second were not served.
func (l *Loop) MostlyUnserved() bool { return l.mostlyUnserved.Load() }

// MostlyServed reports whether enough requests ended in the last second, and most of them
// were served.
func (l *Loop) MostlyServed() bool { return l.mostlyServed.Load() }

// SetCutOff sets whether the VM is cut off from other availability zones.
func (l *Loop) SetCutOff(cutOff bool) { l.post(event{kind: cutOffChanged, cutOff: cutOff}) }

// Leave starts a graceful stop, at whose end Stop is called. Requests whose replies are not
// expected by then are refused.
func (l *Loop) Leave(stopsAt ident.Instant) {
	l.post(event{kind: leaveRequested, stopsAt: stopsAt})
}

// Stop ends all requests with the results received so far and refuses later ones.
func (l *Loop) Stop() { l.post(event{kind: stopRequested}) }

// InFlight returns the number of admitted queries that are not answered.
func (l *Loop) InFlight() int { return int(l.inFlight.Load()) }

// Ask submits one request and waits for its answer. It returns nil only when the
// loop has ended. If ctx is done first, the query is cancelled, and its answer holds
// the results received so far.
func (l *Loop) Ask(ctx context.Context, a node.Arrival) *node.Answer {
	var answer *node.Answer
	l.Serve(ctx, a, func(received *node.Answer) { answer = received })
	return answer
}

// Serve is Ask, but passes the answer to write. The memory of the replies that the
// answer holds stays reserved until write returns.
func (l *Loop) Serve(ctx context.Context, a node.Arrival, write func(*node.Answer)) {
	l.ServeHeld(ctx, a, nil, write)
}

// ServeHeld is Serve, and retains the holder for each attempt until the attempt has
// ended, which may be after ServeHeld returns.
func (l *Loop) ServeHeld(ctx context.Context, a node.Arrival, holder Holder, write func(*node.Answer)) {
	w := &waiter{answer: make(chan *node.Answer, 1), arrival: a, holder: holder}
	answer := l.await(ctx, w)
	write(answer)
	if answer != nil {
		l.release(w.reserved)
	}
}

// await submits a request and waits for its answer; see Ask.
func (l *Loop) await(ctx context.Context, w *waiter) *node.Answer {
	if !l.post(event{kind: arrived, arrival: w.arrival, waiter: w}) {
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

// Issue returns the key of a new ticket, or false if none can be issued.
func (l *Loop) Issue(ctx context.Context) (ident.RequestKey, bool) {
	ticket := make(chan ident.RequestKey, 1)
	if !l.post(event{kind: issueRequested, ticket: ticket}) {
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

// Inspect returns the state of the core, or false if the loop has ended or ctx is
// done.
func (l *Loop) Inspect(ctx context.Context) (node.Report, bool) {
	report := make(chan node.Report, 1)
	if !l.post(event{kind: inspectRequested, report: report}) {
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

// post queues an event. It returns false if the loop has ended.
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
	workerCtx, cancelWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWorkers()
	for {
		select {
		case e := <-l.inbox:
			l.handleBatch(e)
		case <-l.viewChanged:
		case <-timer.C:
		case <-ctx.Done():
			cancelWorkers()
			l.awaitWorkers()
			return
		}
		l.installView()
		l.checkClock()
		l.config.Core.Tick(l.config.Clock.Now())
		l.performActions(workerCtx)
		l.inFlight.Store(int64(l.config.Core.InFlight()))
		l.mostlyUnserved.Store(l.config.Core.MostlyUnserved(l.config.Clock.Now()))
		l.mostlyServed.Store(l.config.Core.MostlyServed(l.config.Clock.Now()))
		timer.Reset(l.config.Clock.Until(l.config.Core.Wake()))
	}
}

// awaitWorkers receives from the inbox until all goroutines of the loop have sent
// their result. It discards the events.
func (l *Loop) awaitWorkers() {
	for l.workers > 0 {
		switch e := <-l.inbox; e.kind {
		case replied, claimed, forwarded, usageShared:
			l.workers--
		case arrived, cancelled, issueRequested, inspectRequested, cutOffChanged, leaveRequested, stopRequested, usageAsked:
		}
	}
}

func (l *Loop) handleBatch(e event) {
	l.installView()
	l.checkClock()
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

func (l *Loop) installView() {
	if v := l.config.Views.Current(); v != l.installed {
		l.installed = v
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
		l.assignMemory(&e.reply)
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
	case issueRequested:
		key, _ := core.Issue(now)
		e.ticket <- key
	case inspectRequested:
		e.report <- core.Report(now)
	case cutOffChanged:
		core.SetCutOff(e.cutOff)
	case leaveRequested:
		l.config.Core.Leave(e.stopsAt)
	case stopRequested:
		core.Stop(now)
	case usageAsked:
		e.usage.answers <- core.ReceiveUsage(now, e.usage.from, e.usage.message)
	case usageShared:
		l.workers--
		core.UsageShared(now, e.usage.exchange, e.usage.message, e.usage.ok)
	}
}

// assignMemory assigns the memory of a reply to the caller who waits for it, or
// releases it if there is none.
func (l *Loop) assignMemory(reply *node.Reply) {
	if r, ok := l.attempts[reply.Attempt]; ok {
		if w := l.waiters[r.query]; w != nil {
			w.reserved += reply.Reserved
			return
		}
	}
	l.release(reply.Reserved)
}

func (l *Loop) release(n ident.Bytes) {
	if l.config.Memory != nil && n > 0 {
		l.config.Memory.Release(n)
	}
}
