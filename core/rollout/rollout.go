// Package rollout decides how the traffic of a service moves to another version of its
// software, and whether that version is good. An order names the version. Each VM bounds
// what it sends to the target by itself (Exposure) and counts what comes back (Tally). All
// VMs report these counts to a few of them, which join them (Judge), convict a bad version
// and advance a good one in steps. A Manager holds the orders of one VM; Versions decides
// which replicas get requests without an order.
package rollout

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// An OrderNumber distinguishes successive orders for one service; a later order has a
// higher one.
type OrderNumber uint64

// An OrderID identifies an order among those for one service.
type OrderID struct {
	Number OrderNumber
	// Target is the version to which the traffic moves.
	Target ident.Software
}

// A Stage is the state of an order.
type Stage uint8

// The stages of an order. Completed and RolledBack are final.
const (
	// Pending orders have no stage in the store yet.
	Pending Stage = iota
	InProgress
	Completed
	RolledBack
)

// Final reports whether the stage never changes again.
func (s Stage) Final() bool { return s == Completed || s == RolledBack }

// String returns the name of the stage in kebab case.
func (s Stage) String() string {
	return [...]string{"pending", "in-progress", "completed", "rolled-back"}[s]
}

// An Order requests that the traffic of a service move to another version.
type Order struct {
	Service ident.ServiceID
	ID      OrderID
	// Duration is the time within which the order should be completed or rolled back.
	Duration time.Duration
	// Stored is the stage of this order in the store.
	Stored Stage
}

// Bounds limit what a bad version may cost. The zero value disables rollouts.
type Bounds struct {
	// All VMs together send at most Share of a service's requests, and Allowance
	// requests beyond, to a version that is not known to be good.
	Share     ident.Share
	Allowance int
	// Within is the time after the evidence for a roll-back until it is in force.
	Within time.Duration
}

// Set reports whether rollouts are enabled.
func (b Bounds) Set() bool { return b.Share > 0 && b.Within > 0 }

// A Step is the part of a service's traffic that the target should get.
type Step uint8

// The steps of an order, in their order.
const (
	// Held sends nothing: this VM knows no recent decision.
	Held Step = iota
	// Canary sends half of the share, so that the other half is saved for the next steps.
	Canary
	// Quarter, Half and Most try the target under load. The other versions get enough to
	// be compared with. Exposure still bounds the sum.
	Quarter
	Half
	Most
	// Takeover sends everything, without a bound: the target has passed the other steps.
	Takeover
)

// String returns the name of the step in kebab case.
func (s Step) String() string {
	return [...]string{"held", "canary", "quarter", "half", "most", "takeover"}[s]
}

// canaryPart is the part of Bounds.Share that Canary uses.
const canaryPart = 0.5

// fraction returns the part of the requests that the target should get.
func (s Step) fraction(share ident.Share) float64 {
	switch s {
	case Held:
		return 0
	case Canary:
		return canaryPart * float64(share)
	case Quarter:
		return 0.25
	case Half:
		return 0.5
	case Most:
		return 0.75
	case Takeover:
	}
	return 1
}

// A Plan is what the traffic of one VM needs to know about an order in progress.
type Plan struct {
	Order OrderID
	Step  Step
	Share ident.Share
	// Allowance is the number of requests that this VM may send to the target beyond
	// its share.
	Allowance float64
	// Advance is the part of the requests so far that the target may get at Most beyond
	// the share: the share of those expected until the end of the order.
	Advance float64
}

// An Error reports an invalid order.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// A Kind classifies an Error.
type Kind string

// Invalid means that a field of an order is missing or out of range.
const Invalid Kind = "invalid"

func (e *Error) Error() string {
	return "rollout: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
