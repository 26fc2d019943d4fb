// Package coverage records which shards an answer covers and why others are
// missing.
package coverage

import "carawaycross.example/carawaycross/core/ident"

// A Reason states why a shard has no result.
type Reason string

// The reasons for a missing shard.
const (
	None Reason = ""
	// DeadlineExceeded means that the deadline passed before the shard replied.
	DeadlineExceeded Reason = "deadline"
	NoReplica        Reason = "no-replica"
	// Overload means that replicas refused the attempts, or that the shard still
	// waits for a replica with free capacity.
	Overload Reason = "overload"
	// SnapshotGone means that no usable replica holds the snapshot of the query.
	SnapshotGone Reason = "snapshot-gone"
	// Failed means that a replica returned an error or a reply that does not match
	// the attempt.
	Failed Reason = "failed"
	// UpstreamLost means that the connection to the replica failed or that another
	// replica has its address.
	UpstreamLost Reason = "upstream-lost"
	// MissingBelow means that the shard is missing in the reply of a replica that
	// itself gathers results.
	MissingBelow Reason = "missing-below"
)

// A Missing is a shard without a result.
type Missing struct {
	Shard  ident.ShardID
	Reason Reason
}

// A Report states which shards an answer covers.
type Report struct {
	// Each wanted shard is in exactly one of Covered and Missing.
	Covered []ident.ShardID
	Missing []Missing
}

// Share returns the share of wanted shards that are covered; 1 when no shard is
// wanted.
func (r *Report) Share() ident.Share {
	wanted := len(r.Covered) + len(r.Missing)
	if wanted == 0 {
		return 1
	}
	return ident.Share(float64(len(r.Covered)) / float64(wanted))
}
