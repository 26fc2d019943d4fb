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
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/usage"
)

// A ActionKind selects the operation of an Action and thereby the fields that are set.
type ActionKind uint8

// The kinds of Action.
const (
	// Send starts an attempt: Attempt, Query, Replica, Address, Connections,
	// Service, Shard, Snapshot, Body, Message, AtMostOnce, Incarnation, Key, Deadline,
	// Left.
	Send ActionKind = iota
	// Abort cancels a started attempt: Attempt.
	Abort
	// Finish ends a query: Query, Answer.
	Finish
	// Claim requests a claim of a request key on the platform: Query, Key, Deadline.
	Claim
	// Forward sends the request to the VM that issued its ticket: Query, VM,
	// Deadline.
	Forward
	// Notify passes evidence to the control core: News.
	Notify
	// ShareUsage asks another VM about usage caps: VM, Usage.
	ShareUsage
)

// An Action is an operation that the front end performs for the Core.
type Action struct {
	Kind    ActionKind
	Query   ident.QueryID
	Attempt ident.AttemptID
	Replica ident.ReplicaID
	Address string
	// Connections is this VM's share of the replica's connections.
	Connections int
	// Borrowed is true for an attempt whose connection must be closed after its reply.
	Borrowed bool
	Service  ident.ServiceID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	Body     []byte
	// Message is the request to proxy unchanged; nil for a search or booking.
	Message *passage.Request
	// AtMostOnce is true when the Message may run at most once.
	AtMostOnce bool
	// Incarnation is the incarnation of the replica that the attempt is addressed to.
	Incarnation ident.Incarnation
	Key         ident.RequestKey
	Deadline    ident.Instant
	// Left is the remaining time until the deadline; it is sent to the upstream.
	Left   time.Duration
	VM     ident.VMID
	Answer *Answer
	News   News
	Usage  *usage.Exchange
}

// A NewsKind is a kind of evidence.
type NewsKind string

// The kinds of News.
const (
	Cold    NewsKind = "cold"
	Leaving NewsKind = "leaving"
	Lost    NewsKind = "lost"
	Crash   NewsKind = "crash"
	// Rollout carries the evidence about an order in progress. Control does not distribute
	// it as news.
	Rollout NewsKind = "rollout"
)

// News is evidence that control distributes to the other VMs.
type News struct {
	Kind        NewsKind
	Replica     ident.ReplicaID
	Fingerprint poison.Fingerprint
	// Crashes counts the rounds in which the request of a Crash lost its upstream.
	Crashes int
	// Rollout is set for the kind Rollout.
	Rollout *rollout.Evidence
}

// A Part is the result of one shard or, on a route, of one service.
type Part struct {
	Service ident.ServiceID
	Shard   ident.ShardID
	Replica ident.ReplicaID
	Result  []byte
	// Message is the complete reply of the replica to a routed request.
	Message *passage.Reply
}

// An Answer ends a query. Refusal is nil when the answer carries results.
type Answer struct {
	// Snapshot is the snapshot that all Parts come from; 0 for a booking.
	Snapshot ident.SnapshotID
	Map      ident.MapVersion
	Parts    []Part
	Coverage coverage.Report
	// FirstAttempts and ExtraAttempts count the attempts sent.
	FirstAttempts, ExtraAttempts int
	Took                         time.Duration
	Preset                       ident.PresetName
	// Repeated is true when the result is the stored one of an earlier send.
	Repeated bool
	Refusal  *Refusal
	// Failure is the error reply of a replica that is returned to the caller;
	// it is set together with a Refusal.
	Failure *passage.Reply
	// FailedAttempts lists the attempts of a routed query that returned no result, including
	// those still in flight at its end for parts without a result.
	FailedAttempts []FailedAttempt
}

// A FailedAttempt is an attempt that returned no result.
type FailedAttempt struct {
	Service ident.ServiceID
	Replica ident.ReplicaID
	// Outcome is Aborted for an attempt that was still in flight at the end of the query.
	Outcome replica.Outcome
	// After is the time from the arrival of the query until the attempt was sent.
	After, Took time.Duration
}

// A Refusal is an answer without results.
type Refusal struct {
	// Outcome covers every send of the request key for a booking, and only this
	// send for other requests.
	Outcome booking.Outcome
	Reason  admission.Reason
	Detail  string
	// RetryAfter is the delay after which a resend may succeed; 0 if unknown.
	RetryAfter time.Duration
}
