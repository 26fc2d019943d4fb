package node_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/snapshot"
	"carawaycross.example/carawaycross/core/view"
)

// benchCore returns a core with a view of one service that has three replicas per shard.
func benchCore(shards int, p node.Policies) (*node.Core, ident.Instant) {
	core := node.New(node.Config{VM: "entry-0", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1)), Policies: p})
	s := view.Service{ID: "s", Slots: 64, Connections: 640, Maps: snapshot.Maps{{Version: 1, Since: 1}}}
	for shard := range shards {
		s.Maps[0].Shards = append(s.Maps[0].Shards, ident.ShardID(shard))
		for i := range 3 {
			s.Replicas = append(s.Replicas, view.Replica{
				ID: ident.ReplicaID(fmt.Sprintf("r-%d-%d", shard, i)), Shard: ident.ShardID(shard),
				Zone: testZones[i], Address: "127.0.0.1:1",
			})
		}
	}
	now := ident.Instant(time.Hour)
	core.Install(now, &view.View{
		Self: "entry-0", Zone: testZones[0], Ready: true, Preset: preset.Ordinary(), VMs: 1, Services: []view.Service{s},
	})
	return core, now
}

// BenchmarkQuery measures the core's work for a whole query: its arrival, one attempt and
// one reply per shard, and its answer. It reports the time per attempt.
func BenchmarkQuery(b *testing.B) {
	for _, policy := range []struct {
		name string
		p    node.Policies
	}{{"product", node.Defaults()}, {"baseline", node.Baseline()}} {
		for _, shards := range []int{10, 30, 100, 300, 1100} {
			b.Run(fmt.Sprintf("policy=%s/shards=%d", policy.name, shards), func(b *testing.B) {
				core, now := benchCore(shards, policy.p)
				body := []byte("allergy nuts")
				var actions []node.Action
				run := func() {
					core.Arrive(now, node.Arrival{Service: "s", Class: "urgent", Body: body})
					actions = core.Drain(actions[:0])
					for i := range actions {
						a := &actions[i]
						if a.Kind == node.Send {
							now = now.Add(10 * time.Microsecond)
							core.Reply(now, node.Reply{
								Attempt: a.Attempt, Outcome: replica.OK, Snapshot: 1, Shard: a.Shard, Result: body,
								Held: snapshot.Range{Oldest: 1, Newest: 1},
							})
						}
					}
					core.Tick(now)
					actions = core.Drain(actions[:0])
				}
				for range 200 {
					run()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					run()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/attempt")
			})
		}
	}
}

// BenchmarkInstall measures the installation of a new view, by the number of replicas.
func BenchmarkInstall(b *testing.B) {
	for _, shards := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("replicas=%d", 3*shards), func(b *testing.B) {
			core, now := benchCore(shards, node.Policies{})
			v := &view.View{Self: "entry-0", Zone: testZones[0], Ready: true, Preset: preset.Ordinary(), VMs: 1}
			s := view.Service{ID: "s", Slots: 64, Connections: 640, Maps: snapshot.Maps{{Version: 1, Since: 1}}}
			for shard := range shards {
				for i := range 3 {
					s.Replicas = append(s.Replicas, view.Replica{
						ID: ident.ReplicaID(fmt.Sprintf("r-%d-%d", shard, i)), Shard: ident.ShardID(shard), Zone: testZones[i],
					})
				}
			}
			v.Services = []view.Service{s}
			b.ResetTimer()
			for range b.N {
				core.Install(now, v)
				core.Drain(nil)
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per replica and, for queries in flight, per
// attempt.
func BenchmarkMemory(b *testing.B) {
	const shards, queries = 1100, 200
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for range b.N {
		before := heap()
		core, now := benchCore(shards, node.Policies{})
		installed := heap()
		for range queries {
			core.Arrive(now, node.Arrival{Service: "s", Class: "urgent", Body: []byte("allergy nuts")})
			core.Drain(nil)
		}
		loaded := heap()
		b.ReportMetric((installed-before)/(3*shards), "B/replica")
		b.ReportMetric((loaded-installed)/queries/shards, "B/attempt-in-flight")
		runtime.KeepAlive(core)
	}
}
