package carawaycross_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/snapshot"
	"carawaycross.example/carawaycross/core/view"
)

const (
	linkDelay   = 1 * time.Millisecond
	leafService = 5 * time.Millisecond
)

// A network runs several cores in virtual time. A message is delivered by a function
// call scheduled for its arrival.
type network struct {
	now    ident.Instant
	events container.Timers[func()]
	cores  map[string]*node.Core
	// callbacks maps each query of a core to the function that receives its answer.
	callbacks map[string]map[ident.QueryID]func(*node.Answer)
}

// addNode adds a core for a service with one replica per shard, at the address that
// the function returns.
func (n *network) addNode(name string, shards []ident.ShardID, address func(ident.ShardID) string) {
	core := node.New(node.Config{VM: ident.VMID(name), Random: rand.New(rand.NewPCG(1, uint64(len(n.cores))))})
	s := view.Service{
		ID: "slotfinder", Slots: 16, Connections: 64,
		Maps: snapshot.Maps{{Version: 1, Since: 1, Shards: shards}},
	}
	for _, shard := range shards {
		s.Replicas = append(s.Replicas, view.Replica{
			ID: ident.ReplicaID(address(shard)), Shard: shard, Zone: "baden", Address: address(shard),
		})
	}
	core.Install(n.now, &view.View{
		Self: ident.VMID(name), Zone: "baden", Ready: true, Preset: preset.Ordinary(), VMs: 1,
		Services: []view.Service{s},
	})
	n.cores[name] = core
	n.callbacks[name] = map[ident.QueryID]func(*node.Answer){}
}

// search passes a search to a core and registers the callback for its answer.
func (n *network) search(name string, a node.Arrival, done func(*node.Answer)) {
	n.callbacks[name][n.cores[name].Arrive(n.now, a)] = done
	n.executeActions(name)
}

// executeActions executes the actions of a core and schedules its next Tick. A front end
// needs nothing else.
func (n *network) executeActions(name string) {
	core := n.cores[name]
	for _, a := range core.Drain(nil) {
		switch a.Kind {
		case node.Send:
			n.send(name, a)
		case node.Finish:
			done := n.callbacks[name][a.Query]
			delete(n.callbacks[name], a.Query)
			done(a.Answer)
		case node.Abort, node.Claim, node.Forward, node.Notify:
		}
	}
	if at := core.Wake(); at != ident.Never {
		n.events.Add(max(at, n.now), func() { core.Tick(n.now); n.executeActions(name) })
	}
}

// send delivers an attempt to an inner node or a leaf, and later its reply to the sender.
func (n *network) send(from string, a node.Action) {
	reply := func(r node.Reply) {
		n.events.Add(n.now.Add(linkDelay), func() { n.cores[from].Reply(n.now, r); n.executeActions(from) })
	}
	r := node.Reply{Attempt: a.Attempt, Shard: a.Shard, Snapshot: 1, Held: snapshot.Range{Oldest: 1, Newest: 1}}
	if n.cores[a.Address] == nil {
		r.Result = fmt.Appendf(nil, "%s holds shard %d", a.Address, a.Shard)
		n.events.Add(n.now.Add(linkDelay+leafService), func() { reply(r) })
		return
	}
	n.events.Add(n.now.Add(linkDelay), func() {
		n.search(a.Address, node.Arrival{
			Service: a.Service, Body: a.Body, Deadline: a.Left, Snapshot: a.Snapshot,
		}, func(answer *node.Answer) {
			if answer.Refusal != nil {
				r.Outcome = replica.Shed
			}
			r.Result = fmt.Appendf(nil, "%s merged %d parts", a.Address, len(answer.Parts))
			for _, m := range answer.Coverage.Missing {
				r.MissingBelow = append(r.MissingBelow, m.Shard)
			}
			reply(r)
		})
	})
}

// Example_embedding runs an entry node that searches two inner nodes, each with three
// shards. Both levels use the same core.
func Example_embedding() {
	n := &network{
		now: ident.Instant(time.Hour), cores: map[string]*node.Core{},
		callbacks: map[string]map[ident.QueryID]func(*node.Answer){},
	}
	leaf := func(s ident.ShardID) string { return fmt.Sprintf("leaf-%d", s) }
	n.addNode("inner-0", []ident.ShardID{0, 1, 2}, leaf)
	n.addNode("inner-1", []ident.ShardID{3, 4, 5}, leaf)
	// A shard of the entry node is the group of shards behind one inner node.
	n.addNode("entry", []ident.ShardID{0, 1}, func(s ident.ShardID) string { return fmt.Sprintf("inner-%d", s) })
	n.search("entry", node.Arrival{Service: "slotfinder", Body: []byte("a room at eight")}, func(a *node.Answer) {
		fmt.Printf("snapshot %d, %d groups covered after %v\n", a.Snapshot, len(a.Coverage.Covered), a.Took)
		for _, p := range a.Parts {
			fmt.Printf("%s\n", p.Result)
		}
	})
	for n.events.Len() > 0 {
		n.now = n.events.Next()
		event, _ := n.events.Pop(n.now)
		event()
	}
	// Output:
	// snapshot 1, 2 groups covered after 9ms
	// inner-0 merged 3 parts
	// inner-1 merged 3 parts
}
