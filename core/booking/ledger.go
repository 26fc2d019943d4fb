// Package booking decides whether a non-repeatable request is dispatched. Each
// request key is dispatched at most once, because exactly one incarnation of one
// VM may dispatch it: the issuer of a ticket, or the first claimant of a key that
// the caller chose. The guarantee depends on no lease or clock, so it also holds
// when a VM is paused.
package booking

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// An Outcome states whether the request of a key was executed.
type Outcome string

// The outcomes of a request, as reported to callers.
const (
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
	Ran        Outcome = "ran"
)

// A Verdict is the decision on how to handle a request.
type Verdict uint8

// The verdicts of Begin and Claimed.
const (
	// Dispatch the request now. Other sends of the key are not dispatched unless
	// this one ends as NotRun.
	Dispatch Verdict = iota
	// Repeat the stored result of an earlier send.
	Repeat
	// Join the send that is in progress and wait for its result.
	Join
	// Forward to the VM that issued the ticket.
	Forward
	// Claim the key on the platform first.
	Claim
	// Unknown refuses the request: an earlier send may have run.
	Unknown
	// Invalid refuses the request: its key is not valid and no send of it was
	// dispatched.
	Invalid
)

const (
	// Retention is how long a key is recorded; an older key is refused as Unknown.
	Retention = 10 * time.Minute
	// clockMargin is the tolerated difference between the clocks of callers and
	// VMs. A record in use at its expiry is checked again after the same time.
	clockMargin = time.Minute
	// maxRecords limits the keys in a Ledger.
	maxRecords = 200_000
)

// A state is the progress of one request key.
type state uint8

const (
	// issued: the ticket was issued and no send of it was dispatched.
	issued state = iota
	// unclaimed: the claim failed; the next send claims again.
	unclaimed
	// claiming: the claim is in progress.
	claiming
	// retryable: the dispatched send did not run, so another may be dispatched.
	retryable
	// running: a send was dispatched and has not finished.
	running
	// done: a send ran; its result is stored.
	done
	// undetermined: a send may have run, here or on another VM.
	undetermined
)

type record struct {
	state  state
	result []byte
}

// A Ledger records the request keys of one VM incarnation. It must not be saved
// and restored in another incarnation.
type Ledger struct {
	vm          ident.VMID
	incarnation ident.Incarnation
	// issued is the number of the last issued ticket.
	issued  uint64
	records map[ident.RequestKey]*record
	// expiries contains each key of records exactly once.
	expiries container.Timers[ident.RequestKey]
}

// NewLedger returns an empty ledger for one incarnation.
func NewLedger(vm ident.VMID, incarnation ident.Incarnation) *Ledger {
	return &Ledger{vm: vm, incarnation: incarnation, records: map[ident.RequestKey]*record{}}
}

// Issue returns the key of a new ticket, or false when the ledger is full.
func (l *Ledger) Issue(now ident.Instant) (ident.RequestKey, bool) {
	l.expire(now)
	if len(l.records) >= maxRecords {
		return "", false
	}
	l.issued++
	key := Ticket{l.vm, l.incarnation, l.issued}.Key()
	l.add(now.Add(Retention), key, issued)
	return key, true
}

func (l *Ledger) add(expiresAt ident.Instant, key ident.RequestKey, s state) {
	l.records[key] = &record{state: s}
	l.expiries.Add(expiresAt, key)
}

// expire removes the records whose retention ended, except those in progress.
func (l *Ledger) expire(now ident.Instant) {
	for {
		key, ok := l.expiries.Pop(now)
		if !ok {
			return
		}
		if r := l.records[key]; r != nil && (r.state == running || r.state == claiming) {
			l.expiries.Add(now.Add(clockMargin), key)
			continue
		}
		delete(l.records, key)
	}
}

// Begin decides how to handle one send of key. With Forward it also returns the
// VM that issued the ticket. The caller must call Finish after Dispatch and
// Claimed after Claim.
func (l *Ledger) Begin(now ident.Instant, key ident.RequestKey) (Verdict, ident.VMID) {
	l.expire(now)
	if ticket, ok := ParseTicket(key); ok {
		return l.beginTicket(key, ticket)
	}
	issuedAt, ok := IssuedAt(key)
	if !ok {
		return Invalid, ""
	}
	if r := l.records[key]; r != nil {
		return l.beginRecorded(r), ""
	}
	age := now.Sub(issuedAt)
	if age > Retention-clockMargin || len(l.records) >= maxRecords {
		return Unknown, ""
	}
	if age < -clockMargin {
		return Invalid, ""
	}
	l.add(issuedAt.Add(Retention+clockMargin), key, claiming)
	return Claim, ""
}

func (l *Ledger) beginTicket(key ident.RequestKey, t Ticket) (Verdict, ident.VMID) {
	if t.VM != l.vm {
		return Forward, t.VM
	}
	if t.Incarnation != l.incarnation {
		return Unknown, ""
	}
	if t.Number > l.issued {
		return Invalid, ""
	}
	r := l.records[key]
	if r == nil {
		return Unknown, ""
	}
	return l.beginRecorded(r), ""
}

// beginRecorded decides how to handle a send of a key that has a record.
func (l *Ledger) beginRecorded(r *record) Verdict {
	switch r.state {
	case issued, retryable:
		r.state = running
		return Dispatch
	case unclaimed:
		r.state = claiming
		return Claim
	case claiming, running:
		return Join
	case done:
		return Repeat
	default:
		return Unknown
	}
}

// A ClaimResult is the result of a claim on the platform.
type ClaimResult uint8

// The results of a claim.
const (
	// Won means that this incarnation owns the key.
	Won ClaimResult = iota
	// Taken means that another VM or incarnation owns the key.
	Taken
	// Unavailable means that the claim may or may not have been written.
	Unavailable
)

// Claimed records the result of a claim and decides how to handle the request.
func (l *Ledger) Claimed(key ident.RequestKey, result ClaimResult) Verdict {
	r := l.records[key]
	if r == nil || r.state != claiming {
		return Unknown
	}
	switch result {
	case Won:
		r.state = running
		return Dispatch
	case Taken:
		r.state = undetermined
		return Unknown
	default:
		// The next send claims again; Merge returns Won if this claim was written.
		r.state = unclaimed
		return Unknown
	}
}

// Finish records the outcome of the dispatched send of key. It stores the result
// for later sends only when the request ran.
func (l *Ledger) Finish(key ident.RequestKey, outcome Outcome, result []byte) {
	r := l.records[key]
	if r == nil || r.state != running {
		return
	}
	switch outcome {
	case NotRun:
		r.state = retryable
	case Ran:
		r.state, r.result = done, result
	default:
		r.state = undetermined
	}
}

// Outcome returns the recorded outcome of a key without dispatching it. It is
// NotRun only when no send of the key can have run, on this VM or another.
func (l *Ledger) Outcome(key ident.RequestKey) Outcome {
	r := l.records[key]
	if r == nil {
		return MayHaveRun
	}
	switch r.state {
	case issued, retryable:
		return NotRun
	case done:
		return Ran
	default:
		return MayHaveRun
	}
}

// Result returns the stored result of a key that ran, or nil.
func (l *Ledger) Result(key ident.RequestKey) []byte {
	if r := l.records[key]; r != nil {
		return r.result
	}
	return nil
}

// Len returns the number of recorded keys.
func (l *Ledger) Len() int { return len(l.records) }
