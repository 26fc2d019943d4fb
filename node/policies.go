package node

import (
	"time"

	"carawaycross.example/carawaycross/admission"
	"carawaycross.example/carawaycross/ident"
	"carawaycross.example/carawaycross/policy"
	"carawaycross.example/carawaycross/replica"
	"carawaycross.example/carawaycross/retry"
)

// A HedgeQuestion is the input of a hedge delay.
type HedgeQuestion struct {
	Now      ident.Instant
	Latency  *retry.Latency
	Quantile ident.Share
}

// A SpendQuestion is the input of a decision on one extra attempt.
type SpendQuestion struct {
	Now    ident.Instant
	Budget *retry.Budget
	// Hedge is true for a hedge, false for a retry of a failed attempt.
	Hedge bool
}

// An EjectQuestion is the input of a decision on ejecting a slow replica.
type EjectQuestion struct {
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
	HedgeDelay policy.Policy[HedgeQuestion, time.Duration]
	// Spend reports whether an extra attempt may start.
	Spend policy.Policy[SpendQuestion, bool]
	// Eject reports whether a slow replica may be passed over for a while.
	Eject policy.Policy[EjectQuestion, bool]
	// Evidence returns what the end of an attempt tells of its replica.
	Evidence policy.Policy[replica.Sample, replica.Sample]
}

// Defaults returns the policies of the product.
func Defaults() Policies {
	return Policies{
		Choice:     replica.TwoChoices{},
		Admit:      admission.ByClass{},
		HedgeDelay: policy.Func[HedgeQuestion, time.Duration](quantileDelay),
		Spend:      policy.Func[SpendQuestion, bool](fromBudget),
		Eject:      policy.Func[EjectQuestion, bool](boundedEjection),
		Evidence:   policy.Func[replica.Sample, replica.Sample](allEvidence),
	}
}

// Baseline returns the naive policies that measurements compare with: a random
// replica, no hedges, retries without a budget, no ejection, and no heed of
// replicas that are cold, lost or shedding.
func Baseline() Policies {
	return Policies{
		Choice:     replica.AnyReplica{},
		Admit:      admission.All{},
		HedgeDelay: policy.Func[HedgeQuestion, time.Duration](func(HedgeQuestion) time.Duration { return 0 }),
		Spend:      policy.Func[SpendQuestion, bool](func(q SpendQuestion) bool { return !q.Hedge }),
		Eject:      policy.Func[EjectQuestion, bool](func(EjectQuestion) bool { return false }),
		Evidence:   policy.Func[replica.Sample, replica.Sample](drainingOnly),
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
	if p.Evidence == nil {
		p.Evidence = d.Evidence
	}
	return p
}

func allEvidence(s replica.Sample) replica.Sample { return s }

// drainingOnly keeps the successes and the draining signal.
func drainingOnly(s replica.Sample) replica.Sample {
	if s.Outcome != replica.OK && s.Outcome != replica.Draining {
		s.Outcome = replica.Gone
	}
	return s
}

// quantileDelay waits for the latency quantile, at the longest for slowFactor
// medians: when more than the quantile's share is slow, the quantile itself
// says nothing about normal replies, and the budget bounds the hedges.
func quantileDelay(q HedgeQuestion) time.Duration {
	delay := q.Latency.Quantile(q.Now, q.Quantile)
	return min(delay, slowFactor*q.Latency.Median(q.Now))
}

func fromBudget(q SpendQuestion) bool {
	if q.Hedge {
		return q.Budget.Hedge(q.Now)
	}
	return q.Budget.Retry(q.Now)
}

func boundedEjection(q EjectQuestion) bool {
	return q.Shard.MayEject(q.Now, q.Replica)
}
