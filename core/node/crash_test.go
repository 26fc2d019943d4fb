package node_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/view"
)

// A crashWorld is the core of one VM and the replicas of some services in virtual time.
type crashWorld struct {
	core *node.Core
	now  ident.Instant
	view view.View
	// gone holds the replicas that are not listed any more.
	gone map[ident.ReplicaID]bool
	// crashes holds the requests that the core reported.
	crashes []poison.Fingerprint
}

func newCrashWorld(services ...ident.ServiceID) *crashWorld {
	w := &crashWorld{
		core: node.New(node.Config{VM: "entry-0", Random: rand.New(rand.NewPCG(1, 1)), Policies: node.Routed()}),
		now:  ident.Instant(time.Hour), gone: map[ident.ReplicaID]bool{},
	}
	w.view = view.View{Self: "entry-0", Zone: "z0", Ready: true, Preset: preset.BuiltinDiscovery()[0], VMs: 1}
	for _, id := range services {
		vs := view.Service{
			ID: id, Slots: 4, Connections: 100, Paced: true, MinInFlight: 3, DistinctStarts: true,
			QuotaLimits: retry.QuotaLimits{Ratio: 0.2, Allowance: 52, Span: 10 * time.Second},
		}
		for _, n := range []string{"a", "b", "c", "d", "e", "f"} {
			vs.Replicas = append(vs.Replicas, view.Replica{ID: ident.ReplicaID(string(id) + n), Zone: "z0", Address: "x", Incarnation: 1})
		}
		w.view.Services = append(w.view.Services, vs)
	}
	w.install()
	return w
}

// install passes a view without the replicas that are gone to the core.
func (w *crashWorld) install() {
	v := w.view
	v.Services = slices.Clone(v.Services)
	for i := range v.Services {
		v.Services[i].Replicas = slices.DeleteFunc(slices.Clone(v.Services[i].Replicas), func(r view.Replica) bool { return w.gone[r.ID] })
	}
	w.core.Install(w.now, &v)
	w.collect(nil)
}

// collect drains the core, notes crashes, and returns the attempts that were sent.
func (w *crashWorld) collect(sent []node.Action) []node.Action {
	for _, a := range w.core.Drain(nil) {
		switch {
		case a.Kind == node.Send:
			sent = append(sent, a)
		case a.Kind == node.Notify && a.News.Kind == node.Crash:
			w.crashes = append(w.crashes, a.News.Fingerprint)
		}
	}
	return sent
}

// run sends a request and ends each attempt with the outcome, and returns the replicas that
// it reached.
func (w *crashWorld) run(r *route.Route, target string, outcome replica.Outcome) []ident.ReplicaID {
	w.core.Arrive(w.now, node.Arrival{
		Route: r, Deadline: 2 * time.Second, Message: &passage.Request{ID: "r", Method: "GET", Host: "h", Target: target},
	})
	var reached []ident.ReplicaID
	for pending := w.collect(nil); len(pending) > 0; {
		w.now = w.now.Add(time.Millisecond)
		a := pending[0]
		reached = append(reached, a.Replica)
		w.core.Reply(w.now, node.Reply{Attempt: a.Attempt, Outcome: outcome, Message: &passage.Reply{Status: 200}})
		pending = w.collect(pending[1:])
	}
	return reached
}

// crash lets a request crash all replicas that run it, which are removed from the list some
// seconds later, and returns how many it reached.
func (w *crashWorld) crash(r *route.Route, target string) int {
	reached := w.run(r, target, replica.Broken)
	w.now = w.now.Add(4 * time.Second)
	for _, id := range reached {
		w.gone[id] = true
	}
	w.install()
	return len(reached)
}

func deskRoute() *route.Route {
	return &route.Route{
		Name: "desk", Repeatable: true, Goal: time.Second, Attempts: 2,
		Targets: []route.Target{{Weight: 1, Services: []ident.ServiceID{"desk"}}},
	}
}

// TestCrashingRequestIsNotRetried guards against a request that crashes each replica that
// runs it and was retried on another one as long as it came.
func TestCrashingRequestIsNotRetried(t *testing.T) {
	w := newCrashWorld("desk")
	if n := w.crash(deskRoute(), "/crasher"); n != 2 {
		t.Fatalf("the first request reached %d replicas, expected 2", n)
	}
	if len(w.crashes) != 2 || w.crashes[0] != w.crashes[1] {
		t.Fatalf("reported crashes %v, expected two of one request", w.crashes)
	}
	for range 3 {
		if n := w.crash(deskRoute(), "/crasher"); n != 1 {
			t.Fatalf("a request that crashed two replicas reached %d more, expected 1", n)
		}
		w.gone = map[ident.ReplicaID]bool{}
		w.install()
	}
	if n := len(w.run(deskRoute(), "/crasher", replica.Shed)); n != 1 {
		t.Errorf("a request that crashes replicas was offered to %d, expected 1", n)
	}
	if n := len(w.run(deskRoute(), "/other", replica.Broken)); n != 2 {
		t.Errorf("another request reached %d replicas, expected 2", n)
	}
	if n := len(w.run(deskRoute(), "/crasher", replica.Unsent)); n < 2 {
		t.Errorf("a request that reached no replica was sent %d times, expected another one", n)
	}
	w.now = w.now.Add(2 * poison.RefusalPeriod)
	w.install()
	if n := len(w.run(deskRoute(), "/crasher", replica.Broken)); n != 2 {
		t.Errorf("after %v the request reached %d replicas, expected 2", 2*poison.RefusalPeriod, n)
	}
}

// TestSuccessorOfACrashedReplicaIsNoReply checks that an answer 421 from the replica that
// took over the address of a crashed one does not hide the crash.
func TestSuccessorOfACrashedReplicaIsNoReply(t *testing.T) {
	w := newCrashWorld("desk")
	reached := w.run(deskRoute(), "/crasher", replica.Broken)
	for range 20 {
		w.run(deskRoute(), "/other", replica.Misdirected)
		w.now = w.now.Add(300 * time.Millisecond)
	}
	for _, id := range reached {
		w.gone[id] = true
	}
	w.install()
	if len(w.crashes) != 2 {
		t.Fatalf("%d crashes were reported, expected 2", len(w.crashes))
	}
}

// TestCrashingSearchIsNotRetried is TestCrashingRequestIsNotRetried for a request to many
// shards, which crashes replicas of each.
func TestCrashingSearchIsNotRetried(t *testing.T) {
	services := []ident.ServiceID{"s0", "s1", "s2", "s3"}
	w := newCrashWorld(services...)
	search := &route.Route{
		Name: "search", Gather: true, Repeatable: true, Goal: time.Second, Attempts: 2, LeastCoverage: 0.1,
		Targets: []route.Target{{Weight: 1, Services: services}},
	}
	if n := w.crash(search, "/crasher"); n != 2*len(services) {
		t.Fatalf("the first search reached %d replicas, expected %d", n, 2*len(services))
	}
	if n := w.crash(search, "/crasher"); n != len(services) {
		t.Fatalf("the second search reached %d replicas, expected %d", n, len(services))
	}
}

// TestLostRepliesAreRetried checks that a request whose replies were lost, by replicas that
// run on or that leave as planned, keeps its retries.
func TestLostRepliesAreRetried(t *testing.T) {
	for name, after := range map[string]func(w *crashWorld, id ident.ReplicaID){
		"replica stays listed": func(*crashWorld, ident.ReplicaID) {},
		"replica replied again": func(w *crashWorld, id ident.ReplicaID) {
			for range 100 {
				if slices.Contains(w.run(deskRoute(), "/other", replica.Shed), id) {
					w.gone[id] = true
					return
				}
			}
			panic("the replica got no request")
		},
		"replica leaves": func(w *crashWorld, id ident.ReplicaID) {
			for i := range w.view.Services[0].Replicas {
				if r := &w.view.Services[0].Replicas[i]; r.ID == id {
					r.Leaving = true
				}
			}
			w.install()
			w.gone[id] = true
		},
		"replica is removed much later": func(w *crashWorld, id ident.ReplicaID) {
			w.now = w.now.Add(time.Minute)
			w.gone[id] = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCrashWorld("desk")
			for range 2 {
				reached := w.run(deskRoute(), "/request", replica.Broken)
				if len(reached) != 2 {
					t.Fatalf("reached %d replicas, expected 2", len(reached))
				}
				for _, id := range reached {
					after(w, id)
				}
				w.install()
				w.now = w.now.Add(time.Second)
			}
			if len(w.crashes) > 0 {
				t.Fatalf("%d crashes were reported", len(w.crashes))
			}
		})
	}
}

// TestCrashReportedByOthersStopsRetries checks that a request that crashed replicas through
// other VMs is not retried here.
func TestCrashReportedByOthersStopsRetries(t *testing.T) {
	w := newCrashWorld("desk")
	f := poison.NewRoutedFingerprint("", &passage.Request{Method: "GET", Host: "h", Target: "/crasher"})
	w.view.Poisoned = container.NewCOW(map[poison.Fingerprint]ident.Instant{f: w.now.Add(poison.RefusalPeriod)})
	w.install()
	if n := len(w.run(deskRoute(), "/crasher", replica.Broken)); n != 1 {
		t.Fatalf("reached %d replicas, expected 1", n)
	}
}

// TestRequestsOnFailingReplicasAreNotBlamed checks that requests that ran on replicas which
// failed together keep their retries.
func TestRequestsOnFailingReplicasAreNotBlamed(t *testing.T) {
	w := newCrashWorld("desk", "other")
	other := deskRoute()
	other.Targets = []route.Target{{Weight: 1, Services: []ident.ServiceID{"other"}}}
	for _, target := range []string{"/1", "/2", "/3", "/4", "/5"} {
		w.run(other, target, replica.Broken)
	}
	w.crash(deskRoute(), "/request")
	if n := w.crash(deskRoute(), "/request"); n != 2 {
		t.Fatalf("reached %d replicas, expected 2", n)
	}
}

// TestNoRequestIsTakenTooLateInAStop guards against requests that are sent to a replica so
// late in a planned stop that they must be broken off.
func TestNoRequestIsTakenTooLateInAStop(t *testing.T) {
	w := newCrashWorld("desk")
	for range 100 {
		w.run(deskRoute(), "/request", replica.OK)
	}
	w.core.Leave(w.now.Add(time.Second))
	if n := len(w.run(deskRoute(), "/request", replica.OK)); n != 1 {
		t.Fatalf("early in the stop, a request reached %d replicas, expected 1", n)
	}
	w.now = w.now.Add(time.Second - 2*time.Millisecond)
	if n := len(w.run(deskRoute(), "/request", replica.OK)); n != 0 {
		t.Fatalf("at the end of the stop, a request reached %d replicas, expected none", n)
	}
}
