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

// A HedgeInput is the input of a hedge delay.
type HedgeInput struct {
	Now      ident.Instant
	Latency  *retry.Latency
	Quantile ident.Share
	// Route is the request's; nil for the product's own.
	Route *route.Route
}

// A LingerInput is the input of a decision on an attempt whose result is no
// longer wanted.
type LingerInput struct {
	// Route is the request's; nil for the product's own.
	Route *route.Route
}

// A SpendInput is the input of a decision on one extra attempt.
type SpendInput struct {
	Now    ident.Instant
	Budget *retry.Budget
	// Quota is set where the service's terms replace the budget.
	Quota *retry.Quota
	// Hedge is true for a hedge, false for a retry of a failed attempt.
	Hedge bool
}

// An EjectInput is the input of a decision on ejecting a slow replica.
type EjectInput struct {
	Now     ident.Instant
	Shard   *replica.Shard
	Replica *replica.State
}

// Policies are the replaceable decisions of a Core. A nil field takes the one
// of Defaults.
type Policies struct {
	Choice replica.Choice
	Admit  admission.Policy
	// HedgeDelay returns the wait before a hedge; 0 for no hedge.
	HedgeDelay policy.Policy[HedgeInput, time.Duration]
	// Spend reports whether an extra attempt may start.
	Spend policy.Policy[SpendInput, bool]
	// Eject reports whether a slow replica may be passed over for a while.
	Eject policy.Policy[EjectInput, bool]
	// Linger returns how long an unwanted attempt runs on before it is
	// cancelled; 0 to cancel it at once.
	Linger policy.Policy[LingerInput, time.Duration]
	// Evidence returns what the end of an attempt tells of its replica.
	Evidence policy.Policy[replica.Sample, replica.Sample]
}

// Defaults returns the policies of the product.
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

// RoutedBaseline returns the policies that measurements of passing requests compare with:
// the replica with the least in flight, no hedge, and no memory of how replicas
// answered.
func RoutedBaseline() Policies {
	p := Routed()
	p.Choice = replica.LeastInFlight{}
	p.HedgeDelay = policy.Func[HedgeInput, time.Duration](func(HedgeInput) time.Duration { return 0 })
	p.Linger = policy.Func[LingerInput, time.Duration](noLinger)
	return p
}

// Routed returns the policies for requests that pass through whole to replicas
// that pause, slow down and lose answers, but bear load.
func Routed() Policies {
	p := Defaults()
	p.Choice = replica.Soonest{}
	p.HedgeDelay = policy.Func[HedgeInput, time.Duration](goalDelay)
	p.Eject = policy.Func[EjectInput, bool](func(EjectInput) bool { return false })
	p.Linger = policy.Func[LingerInput, time.Duration](routeLinger)
	p.Evidence = policy.Func[replica.Sample, replica.Sample](ignoreBrokenConnection)
	return p
}

// Baseline returns the naive policies that measurements compare with: a random
// replica, no hedges, retries without a budget, no ejection, and no heed of
// replicas that are cold, lost or shedding.
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

// successAndDrainingEvidence keeps the successes and the draining signal.
func successAndDrainingEvidence(s replica.Sample) replica.Sample {
	if s.Outcome != replica.OK && s.Outcome != replica.Draining {
		s.Outcome = replica.Gone
	}
	return s
}

// quantileDelay waits for the latency quantile, at the longest for slowFactor
// medians: when more than the quantile's share is slow, the quantile itself
// says nothing about normal replies, and the budget bounds the hedges.
func quantileDelay(q HedgeInput) time.Duration {
	delay := q.Latency.Quantile(q.Now, q.Quantile)
	return min(delay, slowFactor*q.Latency.Median(q.Now))
}

const (
	// goalHedgeFraction of the goal passes before a hedge, where replies are not slower
	// than that: the second attempt then has most of the goal left.
	goalHedgeFraction = 0.25
	// minHedgeMedians of the median pass at the least.
	minHedgeMedians = 1.5
	// lingerDuration is how long an unwanted attempt runs on. It outlasts a pause of
	// a replica, and ends well before callers that left must be forgotten.
	lingerDuration = 250 * time.Millisecond
)

// goalDelay waits for the latency quantile, or for a part of the goal if
// that is earlier, but longer than most replies take.
func goalDelay(q HedgeInput) time.Duration {
	if q.Route == nil || q.Route.Goal == 0 {
		return quantileDelay(q)
	}
	part := time.Duration(goalHedgeFraction * float64(q.Route.Goal))
	quantile := q.Latency.Quantile(q.Now, q.Quantile)
	if quantile == 0 {
		return part
	}
	return min(quantile, max(part, time.Duration(minHedgeMedians*float64(q.Latency.Median(q.Now)))))
}

func noLinger(LingerInput) time.Duration { return 0 }

func routeLinger(q LingerInput) time.Duration {
	if q.Route == nil {
		return 0
	}
	return lingerDuration
}

// ignoreBrokenConnection takes a broken connection as a lost answer: only a replica
// to which no connection can be made is lost.
func ignoreBrokenConnection(s replica.Sample) replica.Sample {
	if s.Outcome == replica.Broken {
		s.Outcome = replica.Gone
	}
	return s
}

func spendBudget(q SpendInput) bool {
	if q.Quota != nil {
		return q.Quota.Spend(q.Now, q.Hedge)
	}
	if q.Hedge {
		return q.Budget.Hedge(q.Now)
	}
	return q.Budget.Retry(q.Now)
}

func boundedEjection(q EjectInput) bool {
	return q.Shard.MayEject(q.Now, q.Replica)
}
