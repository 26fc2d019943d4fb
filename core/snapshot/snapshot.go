// Package snapshot chooses the one snapshot of a query and knows which shards
// make up a service at a snapshot.
package snapshot

import (
	"slices"

	"carawaycross.example/carawaycross/core/ident"
)

// A Range is the snapshots that a replica holds. The zero value is unknown.
type Range struct {
	// Oldest is at most Newest; both are 0 while nothing is known.
	Oldest, Newest ident.SnapshotID
}

// Holds reports whether s is within the range, or the range is unknown.
func (r Range) Holds(s ident.SnapshotID) bool {
	return r.Newest == 0 || (r.Oldest <= s && s <= r.Newest)
}

// Known reports whether anything is known.
func (r Range) Known() bool { return r.Newest != 0 }

// A Map lists the shards of a service from one snapshot on. Each snapshot
// belongs to exactly one Map, so one snapshot never counts a shard twice.
type Map struct {
	Version ident.MapVersion
	Since   ident.SnapshotID
	// Shards has no repeated ID.
	Shards []ident.ShardID
}

// Maps are a service's shard maps in ascending order of Since.
type Maps []Map

// At returns the map that s belongs to, or nil.
func (m Maps) At(s ident.SnapshotID) *Map {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].Since <= s {
			return &m[i]
		}
	}
	return nil
}

// Newest returns the last map, or nil.
func (m Maps) Newest() *Map {
	if len(m) == 0 {
		return nil
	}
	return &m[len(m)-1]
}

// Valid reports whether versions and snapshots ascend and no map repeats a
// shard.
func (m Maps) Valid() bool {
	for i := range m {
		if i > 0 && (m[i].Since <= m[i-1].Since || m[i].Version <= m[i-1].Version) {
			return false
		}
		ids := slices.Sorted(slices.Values(m[i].Shards))
		if len(slices.Compact(ids)) != len(m[i].Shards) {
			return false
		}
	}
	return true
}

// Held gives the ranges of the usable replicas of a shard.
type Held func(ident.ShardID) []Range

// Choose returns the newest snapshot that each shard of its own map is
// believed to hold on half of its replicas, so that a new index version gets
// load only when it is spread; else the newest that each shard holds on any
// replica; else the one held by the most shards. It returns 0 while nothing is
// known.
func Choose(maps Maps, held Held) (ident.SnapshotID, *Map) {
	var best ident.SnapshotID
	var bestMap *Map
	bestCount := 0
	for i := len(maps) - 1; i >= 0; i-- {
		high := ident.SnapshotID(0)
		if i+1 < len(maps) {
			high = maps[i+1].Since - 1
		}
		s, count := chooseIn(&maps[i], high, held)
		if s != 0 && count == len(maps[i].Shards) {
			return s, &maps[i]
		}
		if count > bestCount {
			best, bestMap, bestCount = s, &maps[i], count
		}
	}
	return best, bestMap
}

const anyReplica = 1 << 20

// chooseIn searches one map; high bounds its snapshots, 0 for no bound.
func chooseIn(m *Map, high ident.SnapshotID, held Held) (ident.SnapshotID, int) {
	var candidates []ident.SnapshotID
	ranges := make([][]Range, len(m.Shards))
	for i, shard := range m.Shards {
		ranges[i] = held(shard)
		for _, r := range ranges[i] {
			s := r.Newest
			if high != 0 {
				s = min(s, high)
			}
			if s >= m.Since && s != 0 {
				candidates = append(candidates, s)
			}
		}
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	for i := len(candidates) - 1; i >= 0; i-- {
		if countHolding(ranges, candidates[i], 2) == len(m.Shards) {
			return candidates[i], len(m.Shards)
		}
	}
	best, bestCount := ident.SnapshotID(0), 0
	for i := len(candidates) - 1; i >= 0; i-- {
		count := countHolding(ranges, candidates[i], anyReplica)
		if count == len(m.Shards) {
			return candidates[i], count
		}
		if count > bestCount {
			best, bestCount = candidates[i], count
		}
	}
	return best, bestCount
}

// countHolding counts the shards that hold s on at least one in part of their
// replicas, and on one at the least.
func countHolding(ranges [][]Range, s ident.SnapshotID, part int) int {
	n := 0
	for _, shard := range ranges {
		holding := 0
		for _, r := range shard {
			if r.Known() && r.Holds(s) {
				holding++
			}
		}
		if holding > 0 && holding*part >= len(shard) {
			n++
		}
	}
	return n
}
