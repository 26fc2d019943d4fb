package traffic

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/tenant"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/serve/clock"
)

// newCappedLoop returns the loop of a VM with one tenant, which has a burst of 2.
func newCappedLoop() (*Loop, node.Arrival) {
	table := tenant.NewTable([]tenant.Tenant{{ID: "courts", Rate: 0.01, Burst: 2}})
	views := &view.Publisher{}
	views.Publish(&view.View{
		Self: "entry-0", Zone: "a", Ready: true, Preset: preset.BuiltinDiscovery()[0], VMs: 1, Tenants: table,
		Services: []view.Service{{ID: "s", Slots: 8, Replicas: []view.Replica{{ID: "r", Zone: "a", Address: "127.0.0.1:1"}}}},
	})
	l := New(Config{Clock: clock.New(), Views: views, Core: node.New(node.Config{
		VM: "entry-0", Incarnation: 7, Random: rand.New(rand.NewPCG(1, 1)), Policies: node.Routed(), FirstStart: true,
	})})
	return l, node.Arrival{
		Tenant: "courts", Account: &table.All()[0], Deadline: time.Second, Message: &passage.Request{ID: "1"},
		Route: &route.Route{
			Name: "terms", Attempts: 1, Timeout: time.Second,
			Targets: []route.Target{{Services: []ident.ServiceID{"s"}, Weight: 1}},
		},
	}
}

// A machine is suspended, and requests are the first that its VM receives afterwards.
func TestFirstRequestAfterASuspensionUsesNoEarlierToken(t *testing.T) {
	for _, suspended := range []time.Duration{0, time.Minute} {
		l, arrival := newCappedLoop()
		l.installView()
		l.skew = l.config.Clock.Skew() - suspended
		l.handleBatch(event{kind: arrived, arrival: arrival, waiter: &waiter{answer: make(chan *node.Answer, 1)}})
		sent := 0
		for _, a := range l.config.Core.Drain(nil) {
			if a.Kind == node.Send {
				sent++
			}
		}
		if (sent == 1) != (suspended == 0) {
			t.Errorf("suspended for %v: %d attempts", suspended, sent)
		}
	}
}

func TestQuestionsAboutUsageCapsEndWithTheLoop(t *testing.T) {
	l, _ := newCappedLoop()
	ctx, cancel := context.WithCancel(t.Context())
	l.Start(ctx)
	question := usage.Message{Incarnation: 1, Collects: []ident.TenantID{"courts"}}
	if answer, ok := l.ReceiveUsage(t.Context(), "entry-1", question); !ok || answer.Incarnation != 7 {
		t.Errorf("the answer is %+v, %v", answer, ok)
	}
	cancel()
	<-l.Done()
	if _, ok := l.ReceiveUsage(t.Context(), "entry-1", question); ok {
		t.Error("a loop that has ended answered")
	}
}
