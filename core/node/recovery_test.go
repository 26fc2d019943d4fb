package node_test

import (
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/view"
)

// amongVMs makes the VM the last of n VMs in the order of each replica.
func (c *troubleCase) amongVMs(n int) {
	c.view.VMs = n
	for i := range c.view.Services[0].Replicas {
		c.view.Services[0].Replicas[i].Rank = n - 1
	}
	c.core.Install(c.now, c.view)
}

// TestNewReplicaIsPaced checks that a replica that is added while others serve, or that
// starts under its ID again, gets nothing from the last of 140 VMs in its first moments and
// its share after two seconds; and that one that a starting VM finds in service is not
// limited.
func TestNewReplicaIsPaced(t *testing.T) {
	c := newTroubleCase(t, 2)
	c.amongVMs(140)
	if got := c.serves(20); got["a"] == 0 || got["b"] == 0 {
		t.Fatalf("the replicas that were in service got %v", got)
	}
	c.now = c.now.Add(10 * time.Second)
	c.install(func(s *view.Service) {
		s.Replicas[0].Incarnation = 2
		s.Replicas = append(s.Replicas, view.Replica{ID: "c", Incarnation: 1, Address: "x", Slots: 4, Rank: 139})
	})
	if got := c.serves(20); got["a"] > 0 || got["c"] > 0 || got["b"] != 20 {
		t.Fatalf("right after two replicas started they got %v", got)
	}
	c.now = c.now.Add(2 * time.Second)
	if got := c.serves(60); got["a"] < 5 || got["c"] < 5 {
		t.Fatalf("two seconds later the replicas got %v", got)
	}
}

// TestAllReplicasStartTogether checks that searches are served at once when all replicas of
// all shards start together, as in a restart of the whole service, with 140 VMs: there is no
// other replica to spare them for.
func TestAllReplicasStartTogether(t *testing.T) {
	sim := newRoutedSimulation(1, node.Routed(), 10, 3, 4)
	sim.shareLimits(140, 344)
	load := sim.urgent()
	sim.scheduleArrivals(load, sim.now.Add(2*time.Second))
	sim.run()
	next := *sim.view
	next.Services = nil
	for _, s := range sim.view.Services {
		s.Replicas = slices.Clone(s.Replicas)
		for i := range s.Replicas {
			s.Replicas[i].Incarnation, s.Replicas[i].Rank = 2, 70+i
		}
		next.Services = append(next.Services, s)
	}
	sim.core.Install(sim.now, &next)
	before := *sim.outcomes["urgent"]
	sim.scheduleArrivals(load, sim.now.Add(time.Second))
	sim.run()
	sim.reportFailures(t)
	after := sim.outcomes["urgent"]
	arrived, value := after.arrived-before.arrived, after.value-before.value
	t.Logf("%d searches with a mean value of %.3f in the first second", arrived, value/float64(arrived))
	if value < 0.95*float64(arrived) {
		t.Errorf("a mean value of %.3f in the first second, expected 0.95", value/float64(arrived))
	}
}

// TestQueuedPartsStayQueued checks, with one request at a time at the only replica of the
// VM's subset and a median of 100 ms, that requests stay in the queue, in their order, while
// that one is not overdue: its reply sends the next one.
func TestQueuedPartsStayQueued(t *testing.T) {
	c := newTroubleCase(t, 2)
	c.install(func(s *view.Service) { s.Replicas[1].Reserve = true })
	c.view.Services[0].Replicas[1].Reserve = true
	c.amongVMs(140)
	wait := func(d time.Duration) []node.Action {
		var sent []node.Action
		for end := c.now.Add(d); c.now < end; {
			c.now = c.now.Add(5 * time.Millisecond)
			c.core.Tick(c.now)
			sent = append(sent, sends(c.core.Drain(nil))...)
		}
		return sent
	}
	for range 60 {
		a := sends(c.ask(true))[0]
		wait(100 * time.Millisecond)
		c.reply(a, node.Reply{Outcome: replica.OK})
	}
	for range 5 {
		running := sends(c.ask(true))[0]
		next, last := len(sends(c.ask(true))), len(sends(c.ask(true)))
		if next+last+len(wait(95*time.Millisecond)) > 0 {
			t.Fatal("a request is sent beside the only one allowed")
		}
		for n := range 2 {
			sent := sends(c.reply(running, node.Reply{Outcome: replica.OK}))
			if len(sent) != 1 {
				t.Fatalf("reply %d sends %d queued requests, expected 1", n, len(sent))
			}
			running = sent[0]
			wait(50 * time.Millisecond)
		}
		c.reply(running, node.Reply{Outcome: replica.OK})
	}
}

func sends(actions []node.Action) []node.Action {
	return slices.DeleteFunc(actions, func(a node.Action) bool { return a.Kind != node.Send })
}
