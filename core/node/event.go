package node

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/snapshot"
	"carawaycross.example/carawaycross/core/tenant"
)

// An Arrival is a request from a caller.
type Arrival struct {
	Service ident.ServiceID
	Tenant  ident.TenantID
	// Account is the entry of Tenant in the configuration; nil on public routes and where
	// requests need no key. It stays that of the request although the configuration may
	// change.
	Account *tenant.Tenant
	Class   ident.ClassID
	// Body is sent to upstreams unchanged.
	Body []byte
	// Deadline is the time until the deadline. If 0, a search or booking gets the default of
	// the preset, and a routed request the longest deadline of the preset.
	Deadline time.Duration
	// WantedCoverage is the coverage at which the query ends early; 0 selects the preset's.
	WantedCoverage ident.Share
	// Key is set for a request that may run at most once.
	Key ident.RequestKey
	// Snapshot is the snapshot that the results must come from. An entry node that pinned
	// one sets it in the requests to its inner nodes; if 0, the core chooses.
	Snapshot ident.SnapshotID
	// Route is set for a routed request, which is proxied unchanged. The fields Service,
	// Body, WantedCoverage, Key and Snapshot are then unused.
	Route *route.Route
	// Message is the request to proxy on the Route.
	Message *passage.Request
	// Relayed is true when another VM forwarded the request. It is then not forwarded
	// again.
	Relayed bool
}

// A Reply reports the end of one attempt.
type Reply struct {
	Attempt ident.AttemptID
	Outcome replica.Outcome
	// Snapshot and Shard are those that the upstream reports for Result.
	Snapshot ident.SnapshotID
	Shard    ident.ShardID
	Result   []byte
	// Held is the range of snapshots that the upstream holds; zero if not reported.
	Held snapshot.Range
	// Draining is true when the upstream reports that it is shutting down.
	Draining bool
	// RetryAfter is the time for which the upstream asks for no further attempts; 0 if
	// it does not.
	RetryAfter time.Duration
	// Reserved is the memory budget that the reply holds. The front end releases it;
	// the core ignores it.
	Reserved ident.Bytes
	// Load is the load that the upstream reports.
	Load uint32
	// Message is the complete reply to a routed request; nil otherwise.
	Message *passage.Reply
	// MissingBelow lists the shards below an inner node that returned no result.
	MissingBelow []ident.ShardID
}
