package node

import (
	"time"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/replica"
)

// A Kind tells which fields of an Action are set.
type Kind uint8

// The kinds of Action.
const (
	// Send starts an attempt: Attempt, Query, Replica, Address, Connections,
	// Service, Shard, Snapshot, Body, Message, Once, Key, Deadline, Left.
	Send Kind = iota
	// Abort cancels a started attempt: Attempt.
	Abort
	// Finish ends a query: Query, Answer.
	Finish
	// Claim asks for a claim of a request key: Query, Key, Deadline.
	Claim
	// Forward passes a request on to the VM that issued its ticket: Query, VM,
	// Deadline.
	Forward
	// Notify reports evidence to control: News.
	Notify
)

// An Action is something that the front end does for the Core.
type Action struct {
	Kind    Kind
	Query   ident.QueryID
	Attempt ident.AttemptID
	Replica ident.ReplicaID
	Address string
	// Connections is this VM's share of the replica's connections.
	Connections int
	Service     ident.ServiceID
	Shard       ident.ShardID
	Snapshot    ident.SnapshotID
	Body        []byte
	// Message is what passes through whole; nil for the product's own requests.
	Message *passage.Request
	// Once is true when the Message may run at most once.
	Once bool
	// Born is the life of the replica that is meant.
	Born     ident.Incarnation
	Key      ident.RequestKey
	Deadline ident.Instant
	// Left is the time from now to the deadline, for the upstream to know.
	Left   time.Duration
	VM     ident.VMID
	Answer *Answer
	News   News
}

// A NewsKind is a kind of evidence.
type NewsKind string

// The kinds of News.
const (
	Cold    NewsKind = "cold"
	Leaving NewsKind = "leaving"
	Lost    NewsKind = "lost"
	Crash   NewsKind = "crash"
)

// News is evidence that other VMs should hear of.
type News struct {
	Kind        NewsKind
	Replica     ident.ReplicaID
	Fingerprint poison.Fingerprint
	// Crashes counts the rounds of crashes of a Crash.
	Crashes int
}

// A Part is the result of one shard.
type Part struct {
	Service ident.ServiceID
	Shard   ident.ShardID
	Replica ident.ReplicaID
	Result  []byte
	// Message is the replica's whole reply on a route.
	Message *passage.Reply
}

// An Answer ends a query. Refusal is nil when it carries results.
type Answer struct {
	// Snapshot is the one snapshot of all Parts; 0 for a booking.
	Snapshot ident.SnapshotID
	Map      ident.MapVersion
	Parts    []Part
	Coverage coverage.Report
	// FirstAttempts and ExtraAttempts count the attempts sent.
	FirstAttempts, ExtraAttempts int
	Took                         time.Duration
	Preset                       ident.PresetName
	// Repeated is true when the result of an earlier send was kept.
	Repeated bool
	Refusal  *Refusal
	// Failure is a replica's own reply that is passed on although it is no
	// success; it is set together with a Refusal.
	Failure *passage.Reply
	// Trail lists the attempts on a route that gave no result, as far as the
	// query waited for them.
	Trail []FailedAttempt
}

// A FailedAttempt is an attempt that gave no result.
type FailedAttempt struct {
	Service ident.ServiceID
	Replica ident.ReplicaID
	// Outcome is Aborted for an attempt that was still in flight.
	Outcome replica.Outcome
	// After is when it was sent, from the arrival of the query.
	After, Took time.Duration
}

// A Refusal is an answer without results.
type Refusal struct {
	// Outcome is true of the request key as a whole for a booking, and of this
	// send for a search.
	Outcome booking.Outcome
	Reason  admission.Reason
	Detail  string
	// RetryAfter is when a resend may succeed; 0 if untold.
	RetryAfter time.Duration
}
