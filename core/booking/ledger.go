// Package booking decides whether a request that may not be repeated is
// dispatched. A request key is dispatched at most once because exactly one
// incarnation of one VM may ever dispatch it: the issuer of a ticket, or the
// first claimant of a key that a caller chose. No lease or clock is part of
// that argument, so a paused VM is safe.
package booking

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// An Outcome is what is known of a request key.
type Outcome string

// The outcomes of a request, as callers see them.
const (
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
	Ran        Outcome = "ran"
)

// A Verdict says what to do with a request.
type Verdict uint8

// The verdicts of Begin and Claimed.
const (
	// Dispatch the request now; no other send of the key will be dispatched.
	Dispatch Verdict = iota
	// Repeat the kept result of an earlier send.
	Repeat
	// Join the send that is running.
	Join
	// Forward to the VM that issued the ticket.
	Forward
	// Claim the key on the platform first.
	Claim
	// Unknown refuses: an earlier send may have run.
	Unknown
	// Invalid refuses: the key cannot be used and no send of it was dispatched.
	Invalid
)

const (
	// Retention is how long a key is known; an older one is refused as unknown.
	Retention   = 10 * time.Minute
	clockMargin = time.Minute
	mostRecords = 200_000
)

type state uint8

const (
	issued state = iota
	unclaimed
	claiming
	idle
	running
	done
	unknown
)

type record struct {
	state  state
	result []byte
}

// A Ledger is one VM incarnation's record of request keys. It must not outlive
// or be restored into another incarnation.
type Ledger struct {
	vm          ident.VMID
	incarnation ident.Incarnation
	// Issued is the last ticket number given out.
	issued  uint64
	records map[ident.RequestKey]*record
	// Expiries holds each key of records exactly once.
	expiries container.Timers[ident.RequestKey]
}

// NewLedger returns the empty ledger of one incarnation.
func NewLedger(vm ident.VMID, incarnation ident.Incarnation) *Ledger {
	return &Ledger{vm: vm, incarnation: incarnation, records: map[ident.RequestKey]*record{}}
}

// Issue returns a new ticket's key, or false when the ledger is full.
func (l *Ledger) Issue(now ident.Instant) (ident.RequestKey, bool) {
	l.expire(now)
	if len(l.records) >= mostRecords {
		return "", false
	}
	l.issued++
	key := Ticket{l.vm, l.incarnation, l.issued}.Key()
	l.add(now.Add(Retention), key, issued)
	return key, true
}

func (l *Ledger) add(until ident.Instant, key ident.RequestKey, s state) {
	l.records[key] = &record{state: s}
	l.expiries.Add(until, key)
}

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

// Begin decides on one send of key; with Forward it names the VM that issued
// the ticket. After Dispatch the caller owes Finish, after Claim it owes
// Claimed.
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
		return l.again(r), ""
	}
	age := now.Sub(issuedAt)
	if age > Retention-clockMargin || len(l.records) >= mostRecords {
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
	return l.again(r), ""
}

func (l *Ledger) again(r *record) Verdict {
	switch r.state {
	case issued, idle:
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

// A ClaimResult is the end of a claim on the platform.
type ClaimResult uint8

// The results of a claim.
const (
	// Won means that this incarnation holds the claim.
	Won ClaimResult = iota
	// Taken means that another VM or incarnation holds it.
	Taken
	// Unavailable means that the claim may or may not have been written.
	Unavailable
)

// Claimed takes the result of a claim and decides on the request.
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
		r.state = unknown
		return Unknown
	default:
		// The next send claims again; a claim that was written is recognised.
		r.state = unclaimed
		return Unknown
	}
}

// Finish records how the dispatched send of key ended. The result is kept for
// later sends only when it ran.
func (l *Ledger) Finish(key ident.RequestKey, outcome Outcome, result []byte) {
	r := l.records[key]
	if r == nil || r.state != running {
		return
	}
	switch outcome {
	case NotRun:
		r.state = idle
	case Ran:
		r.state, r.result = done, result
	default:
		r.state = unknown
	}
}

// Outcome returns what this VM knows of a key without dispatching it: NotRun only
// when no send of the key can have been dispatched, here or elsewhere.
func (l *Ledger) Outcome(key ident.RequestKey) Outcome {
	r := l.records[key]
	if r == nil {
		return MayHaveRun
	}
	switch r.state {
	case issued, idle:
		return NotRun
	case done:
		return Ran
	default:
		return MayHaveRun
	}
}

// Result returns the kept result of a key that ran.
func (l *Ledger) Result(key ident.RequestKey) []byte {
	if r := l.records[key]; r != nil {
		return r.result
	}
	return nil
}

// Len returns the number of keys known.
func (l *Ledger) Len() int { return len(l.records) }
