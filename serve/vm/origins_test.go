package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/platform"
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
	expectLine(t, lines.events(t, "routes-in-force"), map[string]any{
		"version": 7, "store-version": 9, "age-ms": 1200, "path": "[vm-1 vm-0]",
	})
}

// TestListOfVMsIsLoggedWhenItDiffers guards against a log that does not show whether a VM
// knew any others through which it could read.
func TestListOfVMsIsLoggedWhenItDiffers(t *testing.T) {
	lines := &logBuffer{}
	vms := make([]platform.ListedVM, 3)
	for i := range vms {
		vms[i] = platform.ListedVM{Name: fmt.Sprint("vm-", i), Zone: "z", Certificate: "c"}
	}
	self := mirror.Member{VM: "vm-0", Zone: "z", Certificate: "c"}
	v := &VM{log: zerolog.New(lines), mirrors: &mirrors{selector: mirror.NewSelector(self, []ident.ZoneID{"z"})}}
	v.updateMirrors(vms[:1])
	v.updateMirrors(vms[:1])
	expectLine(t, lines.events(t, "vms-listed"), map[string]any{"vms": 1, "position": 0, "level": "info"})
	v.updateMirrors(vms)
	vms[2].Leaving = true
	v.updateMirrors(vms)
	got := lines.events(t, "vms-listed")
	if len(got) != 3 || fmt.Sprint(got[1]["vms"], got[2]["vms"]) != "3 2" {
		t.Errorf("logged %v", got)
	}
}
