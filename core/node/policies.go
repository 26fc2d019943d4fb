package node

import (
	"time"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/policy"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/route"
)

// A HedgeInput is the input of the HedgeDelay policy.
type HedgeInput struct {
	Now      ident.Instant
	Latency  *retry.Latency
	Quantile ident.Share
	// Route is set for a routed request; nil otherwise.
	Route *route.Route
}

// A LingerInput is the input of the Linger policy.
type LingerInput struct {
	// Route is set for a routed request; nil otherwise.
	Route *route.Route
}

// A SpendInput is the input of the Spend policy.
type SpendInput struct {
	Now    ident.Instant
	Budget *retry.Budget
	// Quota is set when the service has quota limits, which replace the budget.
	Quota *retry.Quota
	// Hedge is true for a hedge, false for a retry.
	Hedge bool
}

// An EjectInput is the input of the Eject policy.
type EjectInput struct {
	Now     ident.Instant
	Shard   *replica.Shard
	Replica *replica.State
}

// Policies are the replaceable decisions of a Core. A nil field selects the policy of
// Defaults.
type Policies struct {
	Choice replica.Choice
	Admit  admission.Policy
	// HedgeDelay returns the delay before a hedge; 0 disables hedging.
	HedgeDelay policy.Policy[HedgeInput, time.Duration]
	// Spend reports whether an extra attempt may start.
	Spend policy.Policy[SpendInput, bool]
	// Eject reports whether a slow replica may be ejected for an interval.
	Eject policy.Policy[EjectInput, bool]
	// Linger returns how long an attempt whose result is no longer needed runs on
	// before it is cancelled; 0 cancels it immediately.
	Linger policy.Policy[LingerInput, time.Duration]
	// Evidence filters what the end of an attempt implies for the state of its replica.
	Evidence policy.Policy[replica.Sample, replica.Sample]
}

// Defaults returns the policies for searches and bookings.
func Defaults() Policies {
	return Policies{
		Choice:     replica.TwoChoices{},
		Admit:      admission.ByClass{},
		HedgeDelay: policy.Func[HedgeInput, time.Duration](quantileDelay),
		Spend:      policy.Func[SpendInput, bool](spendBudget),
		Eject:      policy.Func[EjectInput, bool](boundedEjection),
		Linger:     policy.Func[LingerInput, time.Duration](noLinger),
		Evidence:   policy.Func[replica.Sample, replica.Sample](fullEvidence),
	}
}

// RoutedBaseline returns the policies against which experiments compare Routed: the
// replica with the fewest attempts in flight, no hedges, and no history of replies.
func RoutedBaseline() Policies {
	p := Routed()
	p.Choice = replica.LeastInFlight{}
	p.HedgeDelay = policy.Func[HedgeInput, time.Duration](func(HedgeInput) time.Duration { return 0 })
	p.Linger = policy.Func[LingerInput, time.Duration](noLinger)
	return p
}

// Routed returns the policies for routed requests. They assume replicas that pause, slow
// down and lose replies, but can serve the load.
func Routed() Policies {
	p := Defaults()
	p.Choice = replica.Soonest{}
	p.HedgeDelay = policy.Func[HedgeInput, time.Duration](goalDelay)
	p.Eject = policy.Func[EjectInput, bool](func(EjectInput) bool { return false })
	p.Linger = policy.Func[LingerInput, time.Duration](routeLinger)
	p.Evidence = policy.Func[replica.Sample, replica.Sample](ignoreBrokenConnection)
	return p
}

// Baseline returns the naive policies against which experiments compare Defaults: a random
// replica, no hedges, retries without a budget, no ejection, and no avoidance of replicas
// that are cold, lost or shedding load.
func Baseline() Policies {
	return Policies{
		Choice:     replica.AnyReplica{},
		Admit:      admission.All{},
		HedgeDelay: policy.Func[HedgeInput, time.Duration](func(HedgeInput) time.Duration { return 0 }),
		Spend:      policy.Func[SpendInput, bool](func(q SpendInput) bool { return !q.Hedge }),
		Eject:      policy.Func[EjectInput, bool](func(EjectInput) bool { return false }),
		Evidence:   policy.Func[replica.Sample, replica.Sample](successAndDrainingEvidence),
	}
}

func (p Policies) withDefaults() Policies {
	d := Defaults()
	if p.Choice == nil {
		p.Choice = d.Choice
	}
	if p.Admit == nil {
		p.Admit = d.Admit
	}
	if p.HedgeDelay == nil {
		p.HedgeDelay = d.HedgeDelay
	}
	if p.Spend == nil {
		p.Spend = d.Spend
	}
	if p.Eject == nil {
		p.Eject = d.Eject
	}
	if p.Linger == nil {
		p.Linger = d.Linger
	}
	if p.Evidence == nil {
		p.Evidence = d.Evidence
	}
	return p
}

func fullEvidence(s replica.Sample) replica.Sample { return s }

// successAndDrainingEvidence turns every outcome except OK and Draining into SnapshotGone.
func successAndDrainingEvidence(s replica.Sample) replica.Sample {
	if s.Outcome != replica.OK && s.Outcome != replica.Draining {
		s.Outcome = replica.SnapshotGone
	}
	return s
}

// quantileDelay returns the latency quantile, at most slowFactor medians: if a larger share
// of replies than 1-quantile is slow, the quantile is no measure of normal replies. The
// budget then bounds the hedges.
func quantileDelay(q HedgeInput) time.Duration {
	delay := q.Latency.Quantile(q.Now, q.Quantile)
	return min(delay, slowFactor*q.Latency.Median(q.Now))
}

const (
	// goalHedgeFraction of the goal passes before a hedge if most replies are faster. The
	// second attempt then has most of the goal left.
	goalHedgeFraction = 0.25
	// A hedge before the latency quantile waits for at least minHedgeMedians median latencies.
	minHedgeMedians = 1.5
	// lingerDuration is how long an attempt without a waiting query runs on. It is longer
	// than a pause of a replica, and much shorter than the time within which the state of a
	// disconnected caller must be released.
	lingerDuration = 250 * time.Millisecond
)

// goalDelay returns the latency quantile or, if that is shorter, goalHedgeFraction of the
// goal, but then at least minHedgeMedians medians, so that most replies arrive before a hedge.
func goalDelay(q HedgeInput) time.Duration {
	if q.Route == nil || q.Route.Goal == 0 {
		return quantileDelay(q)
	}
	goalPart := time.Duration(goalHedgeFraction * float64(q.Route.Goal))
	quantile := q.Latency.Quantile(q.Now, q.Quantile)
	if quantile == 0 {
		return goalPart
	}
	return min(quantile, max(goalPart, time.Duration(minHedgeMedians*float64(q.Latency.Median(q.Now)))))
}

func noLinger(LingerInput) time.Duration { return 0 }

func routeLinger(q LingerInput) time.Duration {
	if q.Route == nil {
		return 0
	}
	return lingerDuration
}

// ignoreBrokenConnection turns a broken connection into SnapshotGone, which leaves the
// condition of the replica unchanged: a replica is marked as lost when no connection can be
// made to it, but not when a reply is lost.
func ignoreBrokenConnection(s replica.Sample) replica.Sample {
	if s.Outcome == replica.Broken {
		s.Outcome = replica.SnapshotGone
	}
	return s
}

func spendBudget(q SpendInput) bool {
	if q.Quota != nil {
		return q.Quota.Spend(q.Now, q.Hedge)
	}
	if q.Hedge {
		return q.Budget.SpendHedge(q.Now)
	}
	return q.Budget.SpendRetry(q.Now)
}

func boundedEjection(q EjectInput) bool {
	return q.Shard.MayEject(q.Now, q.Replica)
}
