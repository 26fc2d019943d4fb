package snapshot_test

import (
	"testing"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/snapshot"
)

// TestChooseAgainstOracle compares Choose with an exhaustive search over the
// snapshots.
func TestChooseAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maps := snapshot.Maps{{Version: 1, Since: 1, Shards: []ident.ShardID{0, 1, 2}}}
		if rapid.Bool().Draw(t, "split") {
			since := ident.SnapshotID(rapid.IntRange(2, 8).Draw(t, "since"))
			maps = append(maps, snapshot.Map{Version: 2, Since: since, Shards: []ident.ShardID{0, 1, 3, 4}})
		}
		rangesOf := map[ident.ShardID][]snapshot.Range{}
		for shard := range ident.ShardID(5) {
			for range rapid.IntRange(0, 3).Draw(t, "replicas") {
				oldest := rapid.IntRange(1, 8).Draw(t, "oldest")
				newest := rapid.IntRange(oldest, 9).Draw(t, "newest")
				rangesOf[shard] = append(rangesOf[shard], snapshot.Range{
					Oldest: ident.SnapshotID(oldest), Newest: ident.SnapshotID(newest),
				})
			}
		}
		got, m := snapshot.Choose(maps, func(s ident.ShardID) []snapshot.Range { return rangesOf[s] })
		count := func(s ident.SnapshotID, divisor int) (shards, wanted int) {
			for _, shard := range maps.At(s).Shards {
				n := 0
				for _, r := range rangesOf[shard] {
					if r.Oldest <= s && s <= r.Newest {
						n++
					}
				}
				if n > 0 && n*divisor >= len(rangesOf[shard]) {
					shards++
				}
			}
			return shards, len(maps.At(s).Shards)
		}
		existsComplete := func(divisor int) bool {
			for s := ident.SnapshotID(9); s >= 1; s-- {
				if n, wanted := count(s, divisor); n == wanted {
					return true
				}
			}
			return false
		}
		if got == 0 {
			if existsComplete(1 << 20) {
				t.Fatal("no snapshot was chosen, but all shards hold one")
			}
			return
		}
		if m != maps.At(got) {
			t.Fatalf("snapshot %d was returned with map version %d, to which it does not belong", got, m.Version)
		}
		if n, wanted := count(got, 1<<20); existsComplete(1<<20) && n != wanted {
			t.Fatalf("snapshot %d is held by %d of %d shards, but all shards hold another", got, n, wanted)
		}
	})
}

func TestMapsAt(t *testing.T) {
	maps := snapshot.Maps{{Version: 1, Since: 2}, {Version: 2, Since: 5}}
	for s, want := range map[ident.SnapshotID]ident.MapVersion{2: 1, 4: 1, 5: 2, 9: 2} {
		if got := maps.At(s); got == nil || got.Version != want {
			t.Fatalf("snapshot %d has map %v, expected %d", s, got, want)
		}
	}
	if maps.At(1) != nil {
		t.Fatal("a snapshot older than the first map has a map")
	}
	if !maps.Valid() || (snapshot.Maps{{Version: 1, Since: 1, Shards: []ident.ShardID{1, 1}}}).Valid() {
		t.Fatal("Valid is wrong for ascending maps or for a map with a repeated shard")
	}
}
