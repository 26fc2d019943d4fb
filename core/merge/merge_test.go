package merge_test

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/merge"
)

// TestTopAgainstSort compares Top with sorting all records.
func TestTopAgainstSort(t *testing.T) {
	const size = 4
	rapid.Check(t, func(t *rapid.T) {
		bodies := rapid.SliceOf(rapid.SliceOf(rapid.ByteRange(0, 3))).Draw(t, "bodies")
		limit := rapid.IntRange(0, 12).Draw(t, "n")
		var all [][]byte
		for _, b := range bodies {
			for ; len(b) >= size; b = b[size:] {
				all = append(all, b[:size])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if limit > 0 && len(all) > limit {
			all = all[:limit]
		}
		if got, want := merge.Top(bodies, size, limit), slices.Concat(all...); !bytes.Equal(got, want) {
			t.Fatalf("got %v, expected %v", got, want)
		}
	})
}
