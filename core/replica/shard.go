package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/snapshot"
)

// A Shard is the replicas of one shard.
type Shard struct {
	ID ident.ShardID
	// Replicas have distinct IDs and all serve this shard.
	Replicas []*State

	ended container.Window[int]
}

// minEnded is the number of ended attempts that tell a rate.
const minEnded = 10

// MayEject reports whether the shard can do without r: at least one other
// replica has a place for this VM now, and at most half of all are ejected.
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

// Usable returns the number of replicas that may get new work.
func (s *Shard) Usable(now ident.Instant) int {
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

// Capacity returns the concurrency of all usable replicas together.
func (s *Shard) Capacity(now ident.Instant) int {
	n := 0
	for _, r := range s.Replicas {
		n += r.Capacity(now)
	}
	return n
}

// Held appends the snapshot ranges of the usable replicas to buf.
func (s *Shard) Held(now ident.Instant, buf []snapshot.Range) []snapshot.Range {
	for _, r := range s.Replicas {
		if r.Usable(now) && r.Held.Known() {
			buf = append(buf, r.Held)
		}
	}
	return buf
}

// CountEnded counts an attempt that a replica of the shard ended.
func (s *Shard) CountEnded(now ident.Instant) { s.ended.Add(now, 1) }

// EstimateWait estimates how long an attempt waits behind ahead others: from the rate
// at which attempts ended in the last second or, when they were few, from the
// capacity and the typical latency.
func (s *Shard) EstimateWait(now ident.Instant, ahead int, typical time.Duration) time.Duration {
	if ahead == 0 {
		return 0
	}
	if ended := s.ended.Sum(now); ended >= minEnded {
		return time.Duration(ahead) * time.Second / time.Duration(ended)
	}
	capacity := s.Capacity(now)
	if capacity == 0 {
		return typical
	}
	return time.Duration(ahead) * typical / time.Duration(capacity)
}
