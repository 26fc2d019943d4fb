package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/snapshot"
)

// A Shard holds the replicas of one shard and counts their ended attempts.
type Shard struct {
	ID ident.ShardID
	// Replicas have distinct IDs.
	Replicas []*State

	// ended counts the attempts that ended with a result in the last second.
	ended container.Window[int]
}

// minEnded is the number of ended attempts from which EstimateWait uses their rate.
const minEnded = 10

// MayEject reports whether r may be ejected: the limit of at least one other
// replica is above 0 now, and with r at most half of the replicas, rounded up,
// would be ejected.
func (s *Shard) MayEject(now ident.Instant, r *State) bool {
	ejected, others := 1, 0
	for _, o := range s.Replicas {
		if o == r {
			continue
		}
		if o.Capacity(now) > 0 {
			others++
		}
		if o.condition == Ejected {
			ejected++
		}
	}
	return others > 0 && 2*ejected <= len(s.Replicas)+1
}

// Usable returns the number of usable replicas. If there is none, it first readmits the
// ejected ones: a slow reply is better than none.
func (s *Shard) Usable(now ident.Instant) int {
	if n := s.countUsable(now); n > 0 {
		return n
	}
	for _, r := range s.Replicas {
		r.readmit(now)
	}
	return s.countUsable(now)
}

func (s *Shard) countUsable(now ident.Instant) int {
	n := 0
	for _, r := range s.Replicas {
		if r.Usable(now) {
			n++
		}
	}
	return n
}

// Warm returns the number of replicas that are usable and warm.
func (s *Shard) Warm(now ident.Instant) int {
	n := 0
	for _, r := range s.Replicas {
		if r.Usable(now) && r.condition == Warm {
			n++
		}
	}
	return n
}

// Capacity returns the sum of the limits of all usable replicas.
func (s *Shard) Capacity(now ident.Instant) int {
	n := 0
	for _, r := range s.Replicas {
		n += r.Capacity(now)
	}
	return n
}

// Held appends the known snapshot ranges of the usable replicas to buf.
func (s *Shard) Held(now ident.Instant, buf []snapshot.Range) []snapshot.Range {
	for _, r := range s.Replicas {
		if r.Usable(now) && r.Held.Known() {
			buf = append(buf, r.Held)
		}
	}
	return buf
}

// CountEnded counts an attempt that ended with a result.
func (s *Shard) CountEnded(now ident.Instant) { s.ended.Add(now, 1) }

// EstimateWait estimates how long an attempt is queued behind ahead others. It uses
// the rate at which attempts ended in the last second or, when those were fewer
// than minEnded, the capacity and the median latency.
func (s *Shard) EstimateWait(now ident.Instant, ahead int, median time.Duration) time.Duration {
	if ahead == 0 {
		return 0
	}
	if ended := s.ended.Sum(now); ended >= minEnded {
		return time.Duration(ahead) * time.Second / time.Duration(ended)
	}
	capacity := s.Capacity(now)
	if capacity == 0 {
		return median
	}
	return time.Duration(ahead) * median / time.Duration(capacity)
}
