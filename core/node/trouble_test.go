package node_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/view"
)

// A troubleCase drives a core by hand: the test decides when each attempt ends.
type troubleCase struct {
	t    *testing.T
	core *node.Core
	now  ident.Instant
	view *view.View
}

// newTroubleCase returns a core with one service of replicas a, b and so on.
func newTroubleCase(t *testing.T, replicas int) *troubleCase {
	c := &troubleCase{t: t, now: ident.Instant(time.Hour)}
	c.core = node.New(node.Config{VM: "entry-0", Random: rand.New(rand.NewPCG(1, 8)), Policies: node.Routed()})
	s := view.Service{
		ID: "s", Slots: 4, Connections: 100, Paced: true, MinInFlight: 3, DistinctStarts: true,
		QuotaLimits: retry.QuotaLimits{Ratio: 0.2, Allowance: 100, Span: 10 * time.Second},
	}
	for i := range replicas {
		s.Replicas = append(s.Replicas, view.Replica{ID: ident.ReplicaID(rune('a' + i)), Incarnation: 1, Address: "x", Slots: 4})
	}
	c.view = &view.View{Self: "entry-0", Ready: true, Preset: preset.BuiltinDiscovery()[0], VMs: 1, Services: []view.Service{s}}
	c.core.Install(c.now, c.view)
	return c
}

// ask starts a request and returns its actions.
func (c *troubleCase) ask(repeatable bool) []node.Action {
	c.core.Arrive(c.now, node.Arrival{
		Deadline: 2 * time.Second, Message: &passage.Request{ID: "1", Method: "GET"},
		Route: &route.Route{
			Name: "r", Repeatable: repeatable, Attempts: 3, Timeout: 2 * time.Second, Goal: 600 * time.Millisecond,
			Targets: []route.Target{{Weight: 1, Services: []ident.ServiceID{"s"}}},
		},
	})
	return c.core.Drain(nil)
}

func (c *troubleCase) reply(a node.Action, r node.Reply) []node.Action {
	c.now = c.now.Add(time.Millisecond)
	r.Attempt = a.Attempt
	if r.Outcome == replica.OK {
		r.Message = &passage.Reply{Status: 200, Digest: "d"}
	}
	c.core.Reply(c.now, r)
	return c.core.Drain(nil)
}

// serves sends n requests and returns how many attempts each replica got. It answers
// them at once.
func (c *troubleCase) serves(n int) map[ident.ReplicaID]int {
	counts := map[ident.ReplicaID]int{}
	for range n {
		for _, a := range c.ask(true) {
			if a.Kind == node.Send {
				counts[a.Replica]++
				c.reply(a, node.Reply{Outcome: replica.OK})
			}
		}
		c.now = c.now.Add(5 * time.Millisecond)
	}
	return counts
}

// install replaces the replicas of the view.
func (c *troubleCase) install(change func(s *view.Service)) {
	next := *c.view
	next.Services = append([]view.Service(nil), c.view.Services...)
	next.Services[0].Replicas = append([]view.Replica(nil), c.view.Services[0].Replicas...)
	change(&next.Services[0])
	c.core.Install(c.now, &next)
}

// TestReplicaThatSaysItLeavesGetsNothing checks that a replica that says that it is
// leaving gets no request from then on, whatever discovery reports, also after its entry
// was missing for a time and if the VM was stalled when the reply arrived; and that its
// next process does.
func TestReplicaThatSaysItLeavesGetsNothing(t *testing.T) {
	for _, stall := range []bool{false, true} {
		c := newTroubleCase(t, 2)
		a := c.ask(true)[0]
		if stall {
			c.now = c.now.Add(500 * time.Millisecond)
		}
		c.reply(a, node.Reply{Outcome: replica.OK, Draining: true})
		for range 40 {
			c.now = c.now.Add(time.Second)
			c.core.Install(c.now, c.view)
			if got := c.serves(2)[a.Replica]; got > 0 {
				t.Fatalf("%s got %d requests after it said it is leaving", a.Replica, got)
			}
		}
		c.install(func(s *view.Service) { s.Replicas = s.Replicas[:0] })
		c.now = c.now.Add(time.Minute)
		c.core.Install(c.now, c.view)
		if got := c.serves(20)[a.Replica]; got > 0 {
			t.Fatalf("%s got %d requests after its entry was missing", a.Replica, got)
		}
		c.install(func(s *view.Service) {
			for i := range s.Replicas {
				s.Replicas[i].Incarnation = 2
			}
		})
		if got := c.serves(50)[a.Replica]; got == 0 {
			t.Fatalf("the next process of %s got no request", a.Replica)
		}
	}
}

// TestReplicaThatAsksForTimeGetsNone checks that a replica gets no attempt while its
// Retry-After runs, and few at once after it.
func TestReplicaThatAsksForTimeGetsNone(t *testing.T) {
	c := newTroubleCase(t, 2)
	a := c.ask(true)[0]
	c.reply(a, node.Reply{Outcome: replica.Shed, RetryAfter: 2 * time.Second})
	for end := c.now.Add(2 * time.Second); c.now < end; {
		if got := c.serves(1)[a.Replica]; got > 0 {
			t.Fatalf("%s got a request %v before the end", a.Replica, end.Sub(c.now))
		}
	}
	c.now = c.now.Add(time.Second)
	c.install(func(s *view.Service) {
		for i := range s.Replicas {
			s.Replicas[i].Out = s.Replicas[i].ID != a.Replica
		}
	})
	first := 0
	for range 5 {
		for _, sent := range c.ask(true) {
			if sent.Kind == node.Send {
				first++
			}
		}
	}
	if first != 1 {
		t.Fatalf("%d attempts at once after the time that the replica asked for", first)
	}
}

// TestReplicaThatAsksForTimeGetsNoneAfterALapse guards against requests to a replica whose
// Retry-After runs, once its entry was missing for a time: the store did not list it, but
// its process is the same. Its next process gets requests at once.
func TestReplicaThatAsksForTimeGetsNoneAfterALapse(t *testing.T) {
	for _, asked := range []time.Duration{20 * time.Second, 90 * time.Second, time.Hour} {
		c := newTroubleCase(t, 2)
		a := c.ask(true)[0]
		answered := c.now
		c.reply(a, node.Reply{Outcome: replica.Shed, RetryAfter: asked})
		listed := slices.Clone(c.view.Services[0].Replicas)
		c.install(func(s *view.Service) {
			s.Replicas = slices.DeleteFunc(slices.Clone(listed), func(r view.Replica) bool { return r.ID == a.Replica })
		})
		c.now = c.now.Add(asked / 4)
		c.install(func(s *view.Service) { s.Replicas = listed })
		for c.now.Sub(answered) < asked {
			if got := c.serves(20)[a.Replica]; got > 0 {
				t.Fatalf("%s got %d requests %v after it had asked for %v without", a.Replica, got, c.now.Sub(answered), asked)
			}
			c.now = c.now.Add(asked / 16)
		}
		c.now = answered.Add(asked/2 + 2*time.Second)
		c.install(func(s *view.Service) {
			for i := range s.Replicas {
				s.Replicas[i].Incarnation++
			}
		})
		if got := c.serves(50)[a.Replica]; got == 0 {
			t.Errorf("the next process of %s got no request", a.Replica)
		}
	}
}

// TestAllReplicasAskForTime checks that a request is refused at once, as not run, while
// all replicas ask for time, with a Retry-After until the first of them is back.
func TestAllReplicasAskForTime(t *testing.T) {
	c := newTroubleCase(t, 2)
	first := c.ask(true)
	second := c.reply(first[0], node.Reply{Outcome: replica.Shed, RetryAfter: 3 * time.Second})
	got := c.reply(second[0], node.Reply{Outcome: replica.Shed, RetryAfter: 2 * time.Second})
	for _, actions := range [][]node.Action{got, c.ask(true)} {
		if len(actions) != 1 || actions[0].Kind != node.Finish || actions[0].Answer.Refusal == nil {
			t.Fatalf("not refused at once: %+v", actions)
		}
		r := actions[0].Answer.Refusal
		if r.Outcome != booking.NotRun || r.RetryAfter < 1900*time.Millisecond || r.RetryAfter > 3200*time.Millisecond {
			t.Errorf("%s, retry after %v", r.Outcome, r.RetryAfter)
		}
	}
}

// TestStopAnswersEveryRequest checks that requests that wait when the time for a stop
// ends are answered, truly, and that later ones are refused as not run.
func TestStopAnswersEveryRequest(t *testing.T) {
	c := newTroubleCase(t, 1)
	waiting := 0
	for range 8 {
		for _, a := range c.ask(false) {
			if a.Kind == node.Send {
				waiting++
			}
		}
	}
	c.core.Stop(c.now)
	outcomes := map[booking.Outcome]int{}
	for _, a := range append(c.core.Drain(nil), c.ask(false)...) {
		if a.Kind == node.Finish {
			outcomes[a.Answer.Refusal.Outcome]++
		}
	}
	if outcomes[booking.MayHaveRun] != waiting || outcomes[booking.NotRun] != 9-waiting {
		t.Fatalf("%d were sent, the answers are %v", waiting, outcomes)
	}
}

// TestReplicaThatIsNoLongerListedAnswers checks that an attempt goes on when its replica
// is no longer listed, and is neither given up nor sent to another one.
func TestReplicaThatIsNoLongerListedAnswers(t *testing.T) {
	c := newTroubleCase(t, 2)
	a := c.ask(false)[0]
	c.install(func(s *view.Service) { s.Replicas = s.Replicas[:0] })
	c.core.Tick(c.now)
	if got := c.core.Drain(nil); len(got) != 0 {
		t.Fatalf("the attempt led to %+v", got)
	}
	if got := c.reply(a, node.Reply{Outcome: replica.OK}); len(got) != 1 || got[0].Answer.Refusal != nil {
		t.Fatalf("the reply led to %+v", got)
	}
}
