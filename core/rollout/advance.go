package rollout

import (
	"fmt"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// canaryTime is the part of the duration for which Canary lasts; at most
	// maxCanaryTime. Meanwhile, the VMs save credit for the steps under load.
	canaryTime    = 0.35
	maxCanaryTime = 5 * time.Minute
	// loadTime is the part of the duration for which each step under load lasts, at least
	// minLoadTime and at most maxLoadTime.
	loadTime    = 0.03
	minLoadTime = 700 * time.Millisecond
	maxLoadTime = 10 * time.Second
	// Takeover lasts at least this part of the duration, but not less than minTakeoverTime
	// and not more than maxTakeoverTime: some seconds under the whole load.
	takeoverTime    = 0.07
	minTakeoverTime = 2500 * time.Millisecond
	maxTakeoverTime = 5 * time.Second
	// minCompared is the number of the target's answers that were compared at Most from which
	// Most may end at its time; fewCompared suffice after fewFactor times as long.
	minCompared = 60
	fewCompared = 20
	fewFactor   = 3
	// evidenceLag is the time from an answer until it is judged.
	evidenceLag = 800 * time.Millisecond
	// minCanaryAnswers is the number of the target's answers from which Canary may end at
	// its time; with fewer it takes patientFactor times as long.
	minCanaryAnswers = 15
	patientFactor    = 1.4
	// hurriedOrder is the duration below which Canary lasts hurriedCanaryTime of it, so that
	// the other steps have time.
	hurriedOrder      = 20 * time.Second
	hurriedCanaryTime = 0.25
	// shortOrder is the duration below which the credit does not suffice for all steps under
	// load: Canary is followed by Most.
	shortOrder = 45 * time.Second
	// minCapacity is the part of the other versions' capacity that the target needs before
	// it gets more than the share.
	minCapacity = 0.5
	// decisionTime is the part of the duration after which an order that has not reached
	// Takeover is rolled back.
	decisionTime = 0.85
	// lastTime is the part of the duration after which a target that is not fit at Takeover
	// is given up.
	lastTime = 0.97
)

// advance enters the next step once the present one has lasted long enough. Only a judge
// that gets reports of most VMs advances, so that the judges of a partition do not.
func (j *Judge) advance(now ident.Instant, vms int, capacity Capacity) {
	heard, othersInUse := j.countHeard(now)
	if 2*heard <= vms {
		return
	}
	age := now.Sub(j.began)
	if j.step < Takeover && age >= scale(j.order.Duration, decisionTime) {
		j.stage = RolledBack
		j.reason = fmt.Sprintf("not good enough in time: %d answers, step %v, capacity %d of %d; age %v", j.answers, j.step, capacity.Target,
			capacity.Others, age.Round(time.Millisecond))
		return
	}
	inStep := now.Sub(j.stepSince)
	switch j.step {
	case Held:
		j.enter(now, Canary)
	case Canary:
		if !j.canaryPassed(age) || !j.fits(capacity) {
			return
		}
		if j.order.Duration < shortOrder {
			j.enter(now, Most)
			return
		}
		j.enter(now, Quarter)
	case Quarter, Half:
		if inStep >= j.loadTime() && j.stepAnswers > 0 && j.fits(capacity) {
			j.enter(now, j.step+1)
		}
	case Most:
		mostTime := j.loadTime() + evidenceLag
		enough := j.compared >= minCompared || (j.compared >= fewCompared && inStep >= fewFactor*mostTime)
		if inStep >= mostTime && enough && j.fits(capacity) {
			j.enter(now, Takeover)
		}
	case Takeover:
		unheard := heard < vms && inStep < absentAfter
		switch {
		case !j.fits(capacity):
			j.abandon(age, capacity)
		case inStep >= j.takeoverTime() && !othersInUse && !unheard:
			j.complete(age, heard, vms)
		}
	}
}

func (j *Judge) complete(age time.Duration, heard, vms int) {
	j.stage = Completed
	j.reason = fmt.Sprintf("%d answers, no requests at other versions, %d of %d VMs; age %v", j.answers, heard, vms, age.Round(time.Millisecond))
}

// abandon rolls an order back that reached Takeover and can't be completed in time: the
// target lost its replicas there, or its answers are worse.
func (j *Judge) abandon(age time.Duration, capacity Capacity) {
	if age < scale(j.order.Duration, lastTime) {
		return
	}
	j.stage = RolledBack
	j.reason = fmt.Sprintf("not fit at the end: suspected %t, capacity %d of %d; age %v", j.suspect, capacity.Target, capacity.Others,
		age.Round(time.Millisecond))
}

// fits reports whether the target may get more of the traffic.
func (j *Judge) fits(c Capacity) bool {
	return !j.suspect && c.Target > 0 && float64(c.Target) >= minCapacity*float64(c.Others)
}

func (j *Judge) canaryPassed(age time.Duration) bool {
	needed := min(scale(j.order.Duration, canaryTime), maxCanaryTime)
	if j.order.Duration < hurriedOrder {
		needed = scale(j.order.Duration, hurriedCanaryTime)
	}
	if j.answers < minCanaryAnswers {
		needed = scale(needed, patientFactor)
	}
	return age >= needed && j.answers > 0
}

func (j *Judge) loadTime() time.Duration {
	return min(max(scale(j.order.Duration, loadTime), minLoadTime), maxLoadTime)
}

func (j *Judge) takeoverTime() time.Duration {
	return min(max(scale(j.order.Duration, takeoverTime), minTakeoverTime), maxTakeoverTime)
}
