package node

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/snapshot"
)

// An Arrival is a request of a caller.
type Arrival struct {
	Service ident.ServiceID
	Tenant  ident.TenantID
	Class   ident.ClassID
	// Body is passed to upstreams as it is.
	Body []byte
	// Deadline is the time allowed; 0 takes the preset's default.
	Deadline time.Duration
	// WantedCoverage ends the query early once reached; 0 takes the preset's.
	WantedCoverage ident.Share
	// Key is set for a request that may run at most once.
	Key ident.RequestKey
	// Snapshot is the one that the answer must be of, when the asker is an entry
	// node that pinned it; 0 lets the core choose.
	Snapshot ident.SnapshotID
	// Route is set for a request that passes through whole; the fields Service,
	// Body, WantedCoverage, Key and Snapshot are then unused.
	Route *route.Route
	// Message is what passes through on a Route.
	Message *passage.Request
	// Relayed is true when another VM forwarded the request; it is then never
	// forwarded again.
	Relayed bool
}

// A Reply is the end of one attempt.
type Reply struct {
	Attempt ident.AttemptID
	Outcome replica.Outcome
	// Snapshot and Shard are as the upstream states them.
	Snapshot ident.SnapshotID
	Shard    ident.ShardID
	Result   []byte
	// Held is the range of snapshots that the upstream holds; zero if untold.
	Held snapshot.Range
	// Draining is true when the upstream says that it is leaving.
	Draining bool
	// Load is the upstream's own report.
	Load uint32
	// Message is the replica's whole reply on a Route; nil without one.
	Message *passage.Reply
	// MissingBelow lists shards without a result below an inner node.
	MissingBelow []ident.ShardID
}
