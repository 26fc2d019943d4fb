package vm

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/mirror"
)

// TestRoutesInForceNameTheirPath guards against a log that does not show through which VMs
// a late version came.
func TestRoutesInForceNameTheirPath(t *testing.T) {
	lines := &logBuffer{}
	l := newControlLoop(nil, clock.New(), &view.Publisher{}, noPeers{}, zerolog.New(lines))
	l.routesFreshness = func() mirror.Freshness {
		return mirror.Freshness{Version: 9, Age: 1200 * time.Millisecond, Path: []ident.VMID{"vm-1", "vm-0"}}
	}
	l.publish(&view.View{RoutesVersion: 7, Routes: &route.Table{}})
	l.publish(&view.View{RoutesVersion: 7, Routes: &route.Table{}})
	expectLine(t, lines.events(t, "routes-in-force"), map[string]any{"version": 7, "age-ms": 1200, "path": "[vm-1 vm-0]"})
}
