package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/tenant"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/core/view"
)

// A cappedVM is the core of one VM with one route, whose tenant has a cap of one request a
// second.
type cappedVM struct {
	core    *node.Core
	now     ident.Instant
	arrival node.Arrival
	actions []node.Action
}

func newCappedVM(t *testing.T, members map[ident.VMID]view.Member) *cappedVM {
	t.Helper()
	table := tenant.NewTable([]tenant.Tenant{{ID: "courts", Rate: 1, Burst: 2}})
	r := &route.Route{
		Name: "terms", Repeatable: true, Attempts: 1, Timeout: time.Second,
		Targets: []route.Target{{Services: []ident.ServiceID{"s"}, Weight: 1}},
	}
	vm := &cappedVM{
		core: node.New(node.Config{VM: "entry-0", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1)), Policies: node.Routed(), FirstStart: true}),
		now:  ident.Instant(time.Hour),
		arrival: node.Arrival{
			Route: r, Tenant: "courts", Account: &table.All()[0], Deadline: time.Second, Message: &passage.Request{ID: "1"},
		},
	}
	vm.core.Install(vm.now, &view.View{
		Self: "entry-0", Zone: testZones[0], Ready: true, Preset: preset.BuiltinDiscovery()[0], VMs: 1 + len(members), Tenants: table,
		Members:  container.NewCOW(members),
		Services: []view.Service{{ID: "s", Slots: 8, Replicas: []view.Replica{{ID: "r", Zone: testZones[0], Address: "127.0.0.1:1"}}}},
	})
	return vm
}

// arrive passes a request to the core and returns the actions that follow.
func (vm *cappedVM) arrive() (sends []node.Action, answers []*node.Answer) {
	vm.core.Arrive(vm.now, vm.arrival)
	return vm.drain()
}

func (vm *cappedVM) drain() (sends []node.Action, answers []*node.Answer) {
	vm.core.Tick(vm.now)
	vm.actions = vm.core.Drain(nil)
	for _, a := range vm.actions {
		switch a.Kind {
		case node.Send:
			sends = append(sends, a)
		case node.Finish:
			answers = append(answers, a.Answer)
		default:
		}
	}
	return sends, answers
}

func TestRequestsOverTheCapAreRefusedAsNotRun(t *testing.T) {
	vm := newCappedVM(t, nil)
	for i := range 2 {
		sends, _ := vm.arrive()
		if len(sends) != 1 {
			t.Fatalf("request %d of the burst was not sent", i)
		}
		vm.core.Reply(vm.now, node.Reply{Attempt: sends[0].Attempt, Outcome: replica.OK, Message: &passage.Reply{Status: 200}})
		vm.drain()
	}
	sends, answers := vm.arrive()
	if len(sends) != 0 || len(answers) != 1 {
		t.Fatalf("%d attempts and %d answers, expected a refusal", len(sends), len(answers))
	}
	r := answers[0].Refusal
	if r == nil || r.Reason != node.OverCap || r.Outcome != booking.NotRun || r.RetryAfter < 900*time.Millisecond {
		t.Errorf("the refusal is %+v", r)
	}
}

func TestRequestThatDidNotRunGivesItsTokenBack(t *testing.T) {
	vm := newCappedVM(t, nil)
	vm.arrival.Route = &route.Route{Name: "gone", Timeout: time.Second, Targets: []route.Target{{Services: []ident.ServiceID{"gone"}, Weight: 1}}}
	for range 5 {
		if _, answers := vm.arrive(); len(answers) != 1 || answers[0].Refusal.Reason == node.OverCap {
			t.Fatalf("%d answers, expected a refusal for the missing service", len(answers))
		}
	}
}

func TestRequestWaitsForTheGrantorsAnswer(t *testing.T) {
	members := map[ident.VMID]view.Member{}
	for _, vm := range []ident.VMID{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"} {
		members[vm] = view.Member{State: "alive"}
	}
	for _, granted := range []int{0, 1} {
		vm := newCappedVM(t, members)
		if sends, answers := vm.arrive(); len(sends)+len(answers) != 0 {
			t.Fatalf("%d attempts and %d answers before the grantor answered", len(sends), len(answers))
		}
		var asked *usage.Exchange
		for _, a := range vm.actions {
			if a.Kind == node.ShareUsage && len(a.Usage.Message.Asks) > 0 {
				asked = a.Usage
			}
		}
		if asked == nil {
			t.Fatal("the grantor was not asked")
		}
		vm.now = vm.now.Add(5 * time.Millisecond)
		vm.core.UsageShared(vm.now, *asked, usage.Message{Grants: []usage.Grant{
			{Tenant: "courts", Tokens: granted, Wait: time.Duration(1-granted) * time.Second},
		}}, true)
		sends, answers := vm.drain()
		if len(sends) != granted || len(answers) != 1-granted {
			t.Errorf("%d tokens: %d attempts and %d answers", granted, len(sends), len(answers))
		}
	}
}

func TestCallerThatLeavesWhileItsRequestWaitsForAToken(t *testing.T) {
	vm := newCappedVM(t, map[ident.VMID]view.Member{"entry-1": {State: "alive"}, "entry-2": {State: "alive"}, "entry-3": {State: "alive"}})
	id := vm.core.Arrive(vm.now, vm.arrival)
	vm.core.Cancel(vm.now, id)
	if sends, answers := vm.drain(); len(sends) != 0 || len(answers) != 1 || answers[0].Refusal.Outcome != booking.NotRun {
		t.Errorf("%d attempts and %d answers, expected one as not run", len(sends), len(answers))
	}
	vm.now = vm.now.Add(time.Minute)
	if sends, answers := vm.drain(); len(sends)+len(answers) != 0 {
		t.Error("the request was answered twice")
	}
}
