package node

import (
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/fairness"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/core/view"
)

const (
	// parkedRetryInterval is the delay after which a parked part or a shard queue is retried.
	parkedRetryInterval = 10 * time.Millisecond
	// bookingGracePeriod is how long the core waits for a booking's reply after it
	// answered the caller that the booking may have run.
	bookingGracePeriod = 5 * time.Second
	// When queries with other fingerprints lose massLossThreshold other upstreams within
	// massLossWindow, a query is not blamed for the upstreams that it lost.
	massLossThreshold = 3
	massLossWindow    = time.Second
	maxRecentLosses   = 64
	maxProfiles       = 1000
	// randomSteps is the resolution of random fractions.
	randomSteps = 1000
	// An attempt is slow from slowFactor times the median latency on. The hedge delay is
	// at most that.
	slowFactor = 2
	// stopQuantile is the latency quantile for which there must be time left before a stop.
	stopQuantile ident.Share = 0.99
)

// A Config holds the identity and the injected dependencies of a Core.
type Config struct {
	VM          ident.VMID
	Incarnation ident.Incarnation
	// Started is when the process of the VM started; 0 if no earlier one may have spent
	// a part of the limits.
	Started ident.Instant
	// Random breaks ties and adds jitter to retry times; nil selects a generator with a fixed seed.
	Random   replica.Random
	Policies Policies
	// UsageBounds say how exactly the usage caps of tenants hold over all VMs.
	UsageBounds usage.Bounds
	// FirstStart is true if the whole deployment starts for the first time.
	FirstStart bool
}

type timerKind uint8

const (
	deadlineTimer timerKind = iota
	hedgeTimer
	retryTimer
	queueTimer
	goalTimer
	lingerTimer
	rolloutTimer
)

type timer struct {
	kind  timerKind
	query container.Handle
	part  int
	svc   *service
	shard *shard
	// attempt is set for a lingerTimer only.
	attempt container.Handle
}

type upstreamLoss struct {
	at          ident.Instant
	fingerprint poison.Fingerprint
	replica     *replica.State
}

// A Core makes all decisions for one VM's traffic. See the package comment.
type Core struct {
	config   Config
	policies Policies
	view     *view.View
	services map[ident.ServiceID]*service
	queries  container.Slab[*query]
	attempts container.Slab[attempt]
	timers   container.Timers[timer]
	ledger   *booking.Ledger
	poison   poison.Tracker
	// losses holds the routed requests that may have crashed a replica which is listed yet.
	losses poison.Losses
	// profiles has at most maxProfiles entries, one per route.
	profiles map[ident.RouteID]*profile
	splits   route.Splits
	recent   requestCounts
	// tenants records the admitted queries by tenant, once the configuration has tenants.
	tenants fairness.Places[ident.TenantID]
	// notices outlive the states of replicas that are no longer listed.
	notices replica.Notices
	// resumedAt is when the VM last continued after a stall.
	resumedAt ident.Instant
	// stopped is true after Stop: new requests are refused. stopsAt is when Stop will be
	// called; 0 if that is not planned.
	stopped bool
	stopsAt ident.Instant
	// cutOff is true while the VM directs its callers to other VMs.
	cutOff bool
	// splitPhase, from 0 to 1, offsets the order of targets in the splits of this VM.
	splitPhase float64
	// recentLosses holds the latest losses of upstreams with an attempt in flight.
	recentLosses *container.Ring[upstreamLoss]
	// runningBookings maps the key of each claimed or dispatched booking to its query.
	runningBookings map[ident.RequestKey]container.Handle
	actions         []Action
	// selectionBuf is the input of the replica choice in progress.
	selectionBuf replica.Selection
	// freeQueries holds finished queries for reuse.
	freeQueries []*query
	// inFlight counts the admitted queries that are not answered.
	inFlight int
	// usage shares the usage caps of tenants with the other VMs. decisions and exchanges
	// are buffers for its results.
	usage     *usage.Ledger
	decisions []usage.Decision
	exchanges []usage.Exchange
}

// New returns a Core without a view. It refuses requests until Install is called.
func New(config Config) *Core {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, 2))
	}
	return &Core{
		config:          config,
		policies:        config.Policies.withDefaults(),
		services:        map[ident.ServiceID]*service{},
		ledger:          booking.NewLedger(config.VM, config.Incarnation),
		runningBookings: map[ident.RequestKey]container.Handle{},
		recentLosses:    container.NewRing[upstreamLoss](maxRecentLosses),
		profiles:        map[ident.RouteID]*profile{},
		usage:           usage.New(usage.Config{VM: config.VM, Incarnation: config.Incarnation, Started: config.Started, FirstStart: config.FirstStart}),
		splitPhase:      float64(config.Random.IntN(randomSteps)) / randomSteps,
	}
}

// randomFraction returns a random number from 0 to 1.
func (c *Core) randomFraction() float64 {
	return float64(c.config.Random.IntN(randomSteps)) / randomSteps
}

// Drain appends to buf the actions decided since the previous Drain. Actions that share a
// query or attempt must be performed in order.
func (c *Core) Drain(buf []Action) []Action {
	buf = append(buf, c.actions...)
	clear(c.actions)
	c.actions = c.actions[:0]
	return buf
}

// Wake returns the instant at which Tick must be called next, or ident.Never.
func (c *Core) Wake() ident.Instant { return min(c.timers.Next(), c.usage.Wake()) }

// InFlight returns the number of admitted queries that are not answered.
func (c *Core) InFlight() int { return c.inFlight }

// Issue returns the key of a new ticket, or false when the ledger is full.
func (c *Core) Issue(now ident.Instant) (ident.RequestKey, bool) {
	return c.ledger.Issue(now)
}

// Install applies a new view published by control.
func (c *Core) Install(now ident.Instant, v *view.View) {
	c.view = v
	c.notices.Expire(now)
	installed := make(map[ident.ServiceID]bool, len(v.Services))
	for i := range v.Services {
		vs := &v.Services[i]
		installed[vs.ID] = true
		svc := c.services[vs.ID]
		if svc == nil {
			svc = newService(vs.ID)
			c.services[vs.ID] = svc
		}
		svc.install(now, c.config.Started, v, vs, &c.notices)
		c.scheduleRollout(now, svc)
		for _, id := range svc.shardOrder {
			c.serveQueue(now, svc, svc.shards[id])
		}
	}
	for id := range c.services {
		if !installed[id] {
			c.services[id].rollout = nil
			delete(c.services, id)
		}
	}
	c.confirmCrashes(now)
	c.installUsage(now, v)
}

// Arrive starts a query for a caller's request and returns its ID, which the actions
// refer to.
func (c *Core) Arrive(now ident.Instant, a Arrival) ident.QueryID {
	c.detectStall(now)
	q := c.newQuery(now, a)
	h := c.queries.Put(q)
	q.handle = h
	if c.capAdmits(now, q) {
		c.begin(now, q)
	}
	return ident.QueryID(h)
}

// begin admits and starts a query, or refuses it.
func (c *Core) begin(now ident.Instant, q *query) {
	if reason, detail := c.prepare(now, q); reason != admission.Admitted {
		c.refuseUnadmitted(now, q, reason, detail)
		return
	}
	c.inFlight++
	q.admitted = true
	c.timers.Add(q.deadline, timer{kind: deadlineTimer, query: q.handle})
	switch {
	case q.arrival.Key != "":
		c.startBooking(now, q)
	case q.target != nil:
		c.startRouted(now, q)
	default:
		c.startSearch(now, q)
	}
}

// refuseUnadmitted refuses a query that was not admitted. An earlier send of a booking may
// have run: its stored result is then repeated, and the refusal states NotRun only if the ledger
// rules out that any send of the key ran.
func (c *Core) refuseUnadmitted(now ident.Instant, q *query, reason admission.Reason, detail string) {
	outcome := booking.NotRun
	if q.arrival.Key != "" {
		outcome = c.ledger.Outcome(q.arrival.Key)
	}
	if outcome == booking.Ran {
		c.applyVerdict(now, q, booking.Repeat)
		return
	}
	c.refuse(now, q, outcome, reason, detail)
}

// prepare validates a new query, sets its limits from the preset, and returns the
// reason for refusing it.
func (c *Core) prepare(now ident.Instant, q *query) (admission.Reason, string) {
	if c.stopped {
		return admission.NotReady, "this VM is stopping"
	}
	if c.view == nil || !c.view.Ready {
		return admission.NotReady, "this VM knows no configuration yet"
	}
	if c.view.Out && !q.arrival.Relayed {
		return admission.VMOut, "operators took this VM out"
	}
	if q.arrival.Route != nil {
		return c.prepareRouted(now, q)
	}
	q.svc = c.services[q.arrival.Service]
	if q.svc == nil {
		return admission.UnknownService, "no service of this name in this deployment"
	}
	p := &c.view.Preset
	limit := q.arrival.Deadline
	if limit == 0 {
		limit = p.DefaultDeadline
	}
	q.profile, q.leastCoverage, q.allowedAttempts = &q.svc.profile, p.LeastCoverage, p.AttemptsPerShard
	if limit < 0 || limit > p.LongestDeadline {
		return admission.BadDeadline, "allowed: above 0, at most " + p.LongestDeadline.String()
	}
	q.deadline = now.Add(limit)
	q.wantedCoverage = q.arrival.WantedCoverage
	if q.wantedCoverage == 0 {
		q.wantedCoverage = p.WantedCoverage
	}
	q.rank = p.Rank(q.arrival.Class)
	q.preset = p
	q.fingerprint = poison.NewFingerprint(q.arrival.Service, q.arrival.Body)
	if left := c.poisonTimeLeft(now, q.fingerprint); left > 0 {
		return admission.Poison, "crashed upstreams; refused for " + left.Round(time.Second).String()
	}
	return c.admitSearch(now, q), ""
}

func (c *Core) poisonTimeLeft(now ident.Instant, f poison.Fingerprint) time.Duration {
	left := c.poison.RefusedFor(now, f)
	if until, ok := c.view.Poisoned.Get(f); ok {
		left = max(left, until.Sub(now))
	}
	return left
}

func (c *Core) admitSearch(now ident.Instant, q *query) admission.Reason {
	median := q.profile.latency.Median(now)
	var wait time.Duration
	queueFull := false
	for _, sh := range q.svc.shards {
		wait = max(wait, sh.EstimateWait(now, sh.queue.Ahead(q.rank, q.flow), median))
		queueFull = queueFull || !sh.queue.CanPush(q.rank, q.flow)
	}
	return c.policies.Admit.Decide(admission.Request{
		Rank: q.rank, Ranks: len(q.preset.Classes),
		InFlight: c.inFlight, MaxInFlight: q.preset.QueriesInFlight, QueueFull: queueFull,
		Wait: wait, AttemptLatency: q.profile.latency.Fastest(now), Left: q.deadline.Sub(now),
	})
}

// Cancel ends a query whose caller disconnected. A dispatched booking continues, so that a
// resend of its key can receive the outcome.
func (c *Core) Cancel(now ident.Instant, id ident.QueryID) {
	q := c.query(id)
	if q == nil || q.answered {
		return
	}
	q.callerGone = true
	c.expire(now, q)
}

func (c *Core) query(id ident.QueryID) *query {
	if q := c.queries.Get(container.Handle(id)); q != nil {
		return *q
	}
	return nil
}

// Tick runs the timers that are due at now.
func (c *Core) Tick(now ident.Instant) {
	c.detectStall(now)
	c.tickUsage(now)
	for {
		t, ok := c.timers.Pop(now)
		if !ok {
			return
		}
		switch t.kind {
		case queueTimer:
			t.shard.timerPending = false
			c.serveQueue(now, t.svc, t.shard)
			continue
		case lingerTimer:
			c.abort(now, t.attempt)
			continue
		case rolloutTimer:
			c.reportRollout(now, t.svc)
			continue
		case deadlineTimer, hedgeTimer, retryTimer, goalTimer:
		}
		q := c.query(ident.QueryID(t.query))
		if q == nil {
			continue
		}
		switch t.kind {
		case deadlineTimer:
			c.expire(now, q)
		case hedgeTimer:
			c.sendHedges(now, q)
		case retryTimer:
			c.resumeParked(now, q, t.part)
		case goalTimer:
			c.handleGoal(now, q)
		case queueTimer, lingerTimer, rolloutTimer:
		}
	}
}

// Leave starts a graceful stop, which Stop ends at an instant. Until then a routed request
// is refused if its reply is not expected by that instant.
func (c *Core) Leave(stopsAt ident.Instant) { c.stopsAt = stopsAt }

// stopsBefore reports whether the VM stops before a reply can be expected to a routed query
// that waits for the given time.
func (c *Core) stopsBefore(now ident.Instant, q *query, wait time.Duration) bool {
	return c.stopsAt > 0 && now.Add(wait+q.profile.latency.Quantile(now, stopQuantile)) > c.stopsAt
}
