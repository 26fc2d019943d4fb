// Package coverage accounts for the shards that an answer covers.
package coverage

import "carawaycross.example/carawaycross/core/ident"

// A Reason says why a shard has no result.
type Reason string

// The reasons for a missing shard.
const (
	None             Reason = ""
	DeadlineExceeded Reason = "deadline"
	NoReplica        Reason = "no-replica"
	Overload         Reason = "overload"
	SnapshotGone     Reason = "snapshot-gone"
	Failed           Reason = "failed"
	UpstreamLost     Reason = "upstream-lost"
	MissingBelow     Reason = "missing-below"
)

// A Missing is a shard without a result.
type Missing struct {
	Shard  ident.ShardID
	Reason Reason
}

// A Report states which shards an answer covers.
type Report struct {
	// Covered and Missing together hold each wanted shard exactly once.
	Covered []ident.ShardID
	Missing []Missing
}

// Share returns the covered share of all wanted shards; 1 when none is wanted.
func (r *Report) Share() ident.Share {
	wanted := len(r.Covered) + len(r.Missing)
	if wanted == 0 {
		return 1
	}
	return ident.Share(float64(len(r.Covered)) / float64(wanted))
}
