package gauge_test

import (
	"fmt"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/serve/gauge"
)

// Many tenants send a few requests each before a large one appears.
func TestLargeTenantsHaveSeriesOfTheirOwn(t *testing.T) {
	const small, large = 400, 30
	var s gauge.Set
	observe := func(tenant string) {
		s.Observe(node.Arrival{Tenant: ident.TenantID(tenant), Class: "terms"}, &node.Answer{Took: time.Millisecond})
	}
	for i := range small {
		observe(fmt.Sprintf("small-%d", i))
	}
	for range large {
		observe("large")
	}
	readings := s.Read()
	if len(readings) > 257 {
		t.Errorf("found %d series, expected at most 257", len(readings))
	}
	var total, own uint64
	for _, r := range readings {
		total += r.Answered
		if r.Tenant == "large" {
			own = r.Answered
		}
	}
	if total != small+large || own < large-2 {
		t.Errorf("%d requests were counted, %d of the large tenant; expected %d and at least %d", total, own, small+large, large-2)
	}
}
