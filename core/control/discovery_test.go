package control_test

import (
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
)

func newDiscoveringCore(t *testing.T) (*control.Core, config.Configuration) {
	t.Helper()
	first, err := config.First(preset.BuiltinDiscovery(), "ordinary")
	if err != nil {
		t.Fatal(err)
	}
	return control.New(start, control.Config{
		Self: roster.Member{VM: "entry-0", Zone: "baden", Incarnation: 1}, First: first, Discovers: true, Peerless: true,
		QuotaLimits: retry.QuotaLimits{Ratio: 0.2, Allowance: 52, Span: 10 * time.Second},
	}), first
}

const start = ident.Instant(time.Hour)

func latestView(core *control.Core) *view.View {
	var v *view.View
	for _, a := range core.Drain(nil) {
		if a.Kind == control.Publish {
			v = a.View
		}
	}
	return v
}

// TestReadyOnceRoutesReplicasAndVMsAreKnown also guards against VMs that start while the
// store is down, have not read the list of VMs yet, and each take the limits for themselves.
func TestReadyOnceRoutesReplicasAndVMsAreKnown(t *testing.T) {
	core, _ := newDiscoveringCore(t)
	if v := latestView(core); v == nil || v.Ready {
		t.Fatal("ready without routes")
	}
	core.RoutesRead(start, catalogue.Configuration{Version: 3})
	if latestView(core).Ready {
		t.Fatal("ready without replicas")
	}
	core.ReplicasListed(start, nil)
	if latestView(core).Ready {
		t.Fatal("ready without the list of VMs")
	}
	core.VMsListed(start, []control.ListedVM{{Name: "entry-0", Zone: "baden"}})
	v := latestView(core)
	if !v.Ready || v.RoutesVersion != 3 {
		t.Fatalf("ready: %v, version %d", v.Ready, v.RoutesVersion)
	}
}

// TestZoneOutReachesDiscoveredReplicas checks that a zone taken out through the
// product's own operator interface also marks the discovered replicas there as out,
// like one that the platform's operator takes out.
func TestZoneOutReachesDiscoveredReplicas(t *testing.T) {
	core, first := newDiscoveringCore(t)
	core.RoutesRead(start, catalogue.Configuration{Version: 3})
	core.ReplicasListed(start, []catalogue.Replica{
		{ID: "a", Service: "s", Zone: "baden", Slots: 4}, {ID: "b", Service: "s", Zone: "winterthur", Slots: 4},
	})
	next, err := first.Apply(config.Change{Kind: config.ZoneOut, Subject: "winterthur"})
	if err != nil {
		t.Fatal(err)
	}
	core.ConfigurationRead(start, next)
	out := map[ident.ReplicaID]bool{}
	for _, r := range latestView(core).Services[0].Replicas {
		out[r.ID] = r.Out
	}
	if out["a"] || !out["b"] {
		t.Fatalf("out: %v", out)
	}
}

// TestVMsShareTheQuota checks that the number of VMs that share the quota follows
// the platform's list, without VMs that are shutting down.
func TestVMsShareTheQuota(t *testing.T) {
	core, _ := newDiscoveringCore(t)
	core.VMsListed(start, []control.ListedVM{
		{Name: "entry-0", Zone: "baden"}, {Name: "entry-1", Zone: "baden"}, {Name: "entry-2", Zone: "baden", Leaving: true},
	})
	if v := latestView(core); v.VMs != 2 {
		t.Fatalf("%d VMs share the quota, expected 2", v.VMs)
	}
	core.VMsListed(start, []control.ListedVM{{Name: "entry-0", Zone: "baden"}})
	if v := latestView(core); v.VMs != 1 {
		t.Fatalf("%d VMs share the quota, expected 1", v.VMs)
	}
}

// TestOlderPresetsNeedNoRepair checks that older presets that are read late through
// a mirror neither take effect nor cause a repair of the store.
func TestOlderPresetsNeedNoRepair(t *testing.T) {
	core, first := newDiscoveringCore(t)
	next, err := first.Apply(config.Change{Kind: config.SwitchPreset, Subject: "peak"})
	if err != nil {
		t.Fatal(err)
	}
	core.ConfigurationChanged(start, next)
	core.Drain(nil)
	core.ConfigurationRead(start, first)
	for _, a := range core.Drain(nil) {
		if a.Kind == control.Repair {
			t.Fatal("a repair for presets that were read late")
		}
	}
	if core.Configuration().InForce != "peak" {
		t.Fatal("the older presets took effect")
	}
}

// TestVMsOfAPlatformExchangeCrashes guards against VMs whose list comes from the platform
// and of which each retried a crashing request until it had crashed replicas through it.
func TestVMsOfAPlatformExchangeCrashes(t *testing.T) {
	core, _ := newDiscoveringCore(t)
	core.VMsListed(start, []control.ListedVM{
		{Name: "entry-0", Zone: "baden"}, {Name: "entry-1", Zone: "baden", Address: "b"}, {Name: "entry-2", Zone: "baden", Leaving: true},
	})
	core.Tick(start.Add(time.Second))
	for _, a := range core.Drain(nil) {
		if a.Kind == control.Send {
			t.Fatalf("sent %+v without news of a crash", a.Message)
		}
	}
	const crashing = 0xc0ffee
	for i := range 2 {
		at := start.Add(time.Duration(i+2) * time.Second)
		core.Report(at, node.News{Kind: node.Lost, Replica: "a"})
		core.Report(at, node.News{Kind: node.Crash, Replica: "a", Fingerprint: crashing, Crashes: 1})
	}
	core.Tick(start.Add(4 * time.Second))
	var message *control.Message
	for _, a := range core.Drain(nil) {
		if a.Kind == control.Send {
			message = a.Message
		}
	}
	if message == nil || len(message.News) != 1 || message.News[0].Kind != news.Crash {
		t.Fatalf("sent %+v, expected the news of the crashes alone", message)
	}
	message.Members = []roster.Member{{VM: "entry-9", Zone: "baden"}}
	message.News = append(message.News, news.Item{
		Key: news.Key{Kind: news.Leaving, Subject: "a", Origin: "entry-0"}, Sequence: 1, Expires: start.Add(time.Hour),
	})
	other := control.New(start, control.Config{
		Self: roster.Member{VM: "entry-1", Zone: "baden", Incarnation: 1}, Discovers: true, Peerless: true,
	})
	other.ReplicasListed(start, []catalogue.Replica{{ID: "a", Service: "s", Zone: "baden", Slots: 4}})
	other.Receive(start.Add(4*time.Second), message)
	v := latestView(other)
	if _, ok := v.Poisoned.Get(crashing); !ok {
		t.Error("the crashing request is not known to the other VM")
	}
	if _, ok := v.Members.Get("entry-9"); ok {
		t.Error("a VM that the platform does not list became a member")
	}
	if v.Services[0].Replicas[0].Leaving {
		t.Error("a replica is leaving that the platform lists as ready")
	}
}
