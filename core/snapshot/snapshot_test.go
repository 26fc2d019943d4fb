package snapshot_test

import (
	"testing"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/snapshot"
)

// TestChooseAgainstOracle compares Choose with a search over every snapshot.
func TestChooseAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maps := snapshot.Maps{{Version: 1, Since: 1, Shards: []ident.ShardID{0, 1, 2}}}
		if rapid.Bool().Draw(t, "split") {
			since := ident.SnapshotID(rapid.IntRange(2, 8).Draw(t, "since"))
			maps = append(maps, snapshot.Map{Version: 2, Since: since, Shards: []ident.ShardID{0, 1, 3, 4}})
		}
		held := map[ident.ShardID][]snapshot.Range{}
		for shard := range ident.ShardID(5) {
			for range rapid.IntRange(0, 3).Draw(t, "replicas") {
				oldest := rapid.IntRange(1, 8).Draw(t, "oldest")
				newest := rapid.IntRange(oldest, 9).Draw(t, "newest")
				held[shard] = append(held[shard], snapshot.Range{
					Oldest: ident.SnapshotID(oldest), Newest: ident.SnapshotID(newest),
				})
			}
		}
		got, m := snapshot.Choose(maps, func(s ident.ShardID) []snapshot.Range { return held[s] })
		count := func(s ident.SnapshotID, part int) (shards, wanted int) {
			for _, shard := range maps.At(s).Shards {
				n := 0
				for _, r := range held[shard] {
					if r.Oldest <= s && s <= r.Newest {
						n++
					}
				}
				if n > 0 && n*part >= len(held[shard]) {
					shards++
				}
			}
			return shards, len(maps.At(s).Shards)
		}
		whole := func(part int) bool {
			for s := ident.SnapshotID(9); s >= 1; s-- {
				if n, wanted := count(s, part); n == wanted {
					return true
				}
			}
			return false
		}
		if got == 0 {
			if whole(1 << 20) {
				t.Fatal("chose none although one is held by all shards")
			}
			return
		}
		if m != maps.At(got) {
			t.Fatalf("snapshot %d came with the map of version %d", got, m.Version)
		}
		if n, wanted := count(got, 1<<20); whole(1<<20) && n != wanted {
			t.Fatalf("snapshot %d is held by %d of %d shards although another is held by all", got, n, wanted)
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
		t.Fatal("a map for a snapshot before the first")
	}
	if !maps.Valid() || (snapshot.Maps{{Version: 1, Since: 1, Shards: []ident.ShardID{1, 1}}}).Valid() {
		t.Fatal("Sorted does not see a repeated shard")
	}
}
