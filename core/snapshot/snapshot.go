// Package snapshot chooses the snapshot that all shards of a query read, and maps
// each snapshot to the shards of its service.
package snapshot

import (
	"slices"

	"carawaycross.example/carawaycross/core/ident"
)

// A Range is the range of snapshots that a replica holds. The zero value means that
// the range is unknown.
type Range struct {
	// Oldest is at most Newest; both are 0 while the range is unknown.
	Oldest, Newest ident.SnapshotID
}

// Holds reports whether s is within the range, or the range is unknown.
func (r Range) Holds(s ident.SnapshotID) bool {
	return r.Newest == 0 || (r.Oldest <= s && s <= r.Newest)
}

// Known reports whether the range is known.
func (r Range) Known() bool { return r.Newest != 0 }

// A Map lists the shards of a service for all snapshots from Since up to the next
// Map. Each snapshot belongs to at most one Map, so no shard is counted twice at one
// snapshot.
type Map struct {
	Version ident.MapVersion
	Since   ident.SnapshotID
	// Shards contains no duplicates.
	Shards []ident.ShardID
}

// Maps are a service's shard maps in ascending order of Since.
type Maps []Map

// At returns the map of snapshot s, or nil if s is older than every map.
func (m Maps) At(s ident.SnapshotID) *Map {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].Since <= s {
			return &m[i]
		}
	}
	return nil
}

// Newest returns the last map, or nil if there is none.
func (m Maps) Newest() *Map {
	if len(m) == 0 {
		return nil
	}
	return &m[len(m)-1]
}

// Valid reports whether versions and snapshots are strictly ascending and no map
// contains a shard twice.
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

// ReplicaRanges returns the ranges of the usable replicas of a shard.
type ReplicaRanges func(ident.ShardID) []Range

// Choose returns the snapshot for a query and its map. It goes through the maps from
// the newest to the oldest and returns the first snapshot that all shards of the map
// hold: preferably the newest held by at least half of the replicas of each shard,
// so that a new index version receives load only after it has spread, otherwise the
// newest held by any replica of each shard. If no map has such a snapshot, it
// returns the one held by the most shards, or 0 while no range is known.
func Choose(maps Maps, rangesOf ReplicaRanges) (ident.SnapshotID, *Map) {
	var best ident.SnapshotID
	var bestMap *Map
	bestCount := 0
	for i := len(maps) - 1; i >= 0; i-- {
		limit := ident.SnapshotID(0)
		if i+1 < len(maps) {
			limit = maps[i+1].Since - 1
		}
		s, count := chooseInMap(&maps[i], limit, rangesOf)
		if s != 0 && count == len(maps[i].Shards) {
			return s, &maps[i]
		}
		if count > bestCount {
			best, bestMap, bestCount = s, &maps[i], count
		}
	}
	return best, bestMap
}

// anyReplicaDivisor makes countHolding accept a single replica: it exceeds the
// number of replicas of any shard.
const anyReplicaDivisor = 1 << 20

// chooseInMap returns the preferred snapshot of one map and the number of shards
// that hold it. The result is at most limit; a limit of 0 means none.
func chooseInMap(m *Map, limit ident.SnapshotID, rangesOf ReplicaRanges) (ident.SnapshotID, int) {
	var candidates []ident.SnapshotID
	ranges := make([][]Range, len(m.Shards))
	for i, shard := range m.Shards {
		ranges[i] = rangesOf(shard)
		for _, r := range ranges[i] {
			s := r.Newest
			if limit != 0 {
				s = min(s, limit)
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
		count := countHolding(ranges, candidates[i], anyReplicaDivisor)
		if count == len(m.Shards) {
			return candidates[i], count
		}
		if count > bestCount {
			best, bestCount = candidates[i], count
		}
	}
	return best, bestCount
}

// countHolding returns the number of shards that hold s on at least 1/divisor of
// their replicas, and on at least one.
func countHolding(ranges [][]Range, s ident.SnapshotID, divisor int) int {
	n := 0
	for _, shard := range ranges {
		holding := 0
		for _, r := range shard {
			if r.Known() && r.Holds(s) {
				holding++
			}
		}
		if holding > 0 && holding*divisor >= len(shard) {
			n++
		}
	}
	return n
}
