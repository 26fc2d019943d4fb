package route_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
)

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table := route.NewTable([]route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, c := range []struct {
		host, path string
		want       ident.RouteID
	}{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:80", "/x/y", "mid"},
		{"a.example", "/xy", "all"},
		{"b.example", "/x/", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		var got ident.RouteID
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches route %q, expected %q", c.host, c.path, got, c.want)
		}
	}
	if (*route.Table)(nil).Match("a", "/") != nil {
		t.Error("a nil table has a route")
	}
}

// TestSplitFollowsWeights checks that after any number of requests the count of
// each target differs from its weighted share by at most the number of targets.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "targets")
		targets := make([]route.Target, n)
		sum := 0.0
		for i := range targets {
			targets[i] = route.Target{
				Services: []ident.ServiceID{ident.ServiceID(rune('a' + i))},
				Weight:   float64(rapid.IntRange(1, 100).Draw(t, "weight")),
			}
			sum += targets[i].Weight
		}
		var s route.Split
		offset := rapid.Float64Range(0, 1).Draw(t, "start")
		counts := make([]int, n)
		for k := 1; k <= 300; k++ {
			counts[s.Next(targets, offset)]++
			for i := range counts {
				if off := math.Abs(float64(counts[i]) - float64(k)*targets[i].Weight/sum); off > float64(n) {
					t.Fatalf("after %d requests, the count of target %d differs by %.2f from its share", k, i, off)
				}
			}
		}
	})
}
