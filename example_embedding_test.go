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

// A network runs cores under virtual time; delivery is a function call that is
// due at an instant.
type network struct {
	now   ident.Instant
	due   container.Timers[func()]
	cores map[string]*node.Core
	// Waiting maps a core's query to what takes its answer.
	waiting map[string]map[ident.QueryID]func(*node.Answer)
}

// add starts a core that searches the given shards through the addresses.
func (n *network) add(name string, shards []ident.ShardID, address func(ident.ShardID) string) {
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
	n.waiting[name] = map[ident.QueryID]func(*node.Answer){}
}

// ask lets a core answer a search.
func (n *network) ask(name string, a node.Arrival, done func(*node.Answer)) {
	n.waiting[name][n.cores[name].Arrive(n.now, a)] = done
	n.carryOut(name)
}

// carryOut does what a core decided: it is the whole of a front end.
func (n *network) carryOut(name string) {
	core := n.cores[name]
	for _, a := range core.Drain(nil) {
		switch a.Kind {
		case node.Send:
			n.send(name, a)
		case node.Finish:
			done := n.waiting[name][a.Query]
			delete(n.waiting[name], a.Query)
			done(a.Answer)
		case node.Abort, node.Claim, node.Forward, node.Notify:
		}
	}
	if at := core.Wake(); at != ident.Never {
		n.due.Add(max(at, n.now), func() { core.Tick(n.now); n.carryOut(name) })
	}
}

// send delivers an attempt to an inner node or to a leaf.
func (n *network) send(from string, a node.Action) {
	reply := func(r node.Reply) {
		n.due.Add(n.now.Add(linkDelay), func() { n.cores[from].Reply(n.now, r); n.carryOut(from) })
	}
	r := node.Reply{Attempt: a.Attempt, Shard: a.Shard, Snapshot: 1, Held: snapshot.Range{Oldest: 1, Newest: 1}}
	if n.cores[a.Address] == nil {
		r.Result = fmt.Appendf(nil, "%s holds shard %d", a.Address, a.Shard)
		n.due.Add(n.now.Add(linkDelay+leafService), func() { reply(r) })
		return
	}
	n.due.Add(n.now.Add(linkDelay), func() {
		n.ask(a.Address, node.Arrival{
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

// Example_embedding drives an entry node over two inner nodes, each over three
// shards: the same core serves at both levels.
func Example_embedding() {
	n := &network{
		now: ident.Instant(time.Hour), cores: map[string]*node.Core{},
		waiting: map[string]map[ident.QueryID]func(*node.Answer){},
	}
	leaf := func(s ident.ShardID) string { return fmt.Sprintf("leaf-%d", s) }
	n.add("inner-0", []ident.ShardID{0, 1, 2}, leaf)
	n.add("inner-1", []ident.ShardID{3, 4, 5}, leaf)
	// To the entry node a shard is a group of shards behind an inner node.
	n.add("entry", []ident.ShardID{0, 1}, func(s ident.ShardID) string { return fmt.Sprintf("inner-%d", s) })
	n.ask("entry", node.Arrival{Service: "slotfinder", Body: []byte("a room at eight")}, func(a *node.Answer) {
		fmt.Printf("snapshot %d, %d groups covered after %v\n", a.Snapshot, len(a.Coverage.Covered), a.Took)
		for _, p := range a.Parts {
			fmt.Printf("%s\n", p.Result)
		}
	})
	for n.due.Len() > 0 {
		n.now = n.due.Next()
		event, _ := n.due.Pop(n.now)
		event()
	}
	// Output:
	// snapshot 1, 2 groups covered after 9ms
	// inner-0 merged 3 parts
	// inner-1 merged 3 parts
}
