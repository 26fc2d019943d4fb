package vm_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/client"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/upstream"
	"carawaycross.example/carawaycross/serve/vm"
)

// benchSpec returns a deployment of one VM and stand-in upstreams that reply at once,
// with one replica per shard.
func benchSpec(shards int) fleet.Spec {
	s := fleet.Association()
	s.VMs = 1
	s.Services = []fleet.ServiceSpec{{Name: "route-planner", Shards: shards, Replicas: 1, Slots: 64, Connections: 512}}
	return s
}

func startBench(b *testing.B, shards int) (*fleet.Fleet, *client.Client) {
	b.Helper()
	f, err := fleet.Start(benchSpec(shards))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	s, err := f.Checked(0)
	if err != nil {
		b.Fatal(err)
	}
	v, err := vm.Start(s, vm.Options{Log: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = v.Close() })
	for !v.Ready() {
		time.Sleep(time.Millisecond)
	}
	return f, &client.Client{Address: v.Address(), HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// BenchmarkWholePath measures a search over HTTP through an entry VM to stand-in
// upstreams, per fan-out, with all of them in one process.
func BenchmarkWholePath(b *testing.B) {
	for _, shards := range []int{1, 10, 30, 100, 300, 1100} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f, c := startBench(b, shards)
			request := &schema.SearchRequest{
				Service: "route-planner", Query: []byte("nuts"), Class: "urgent", Deadline: durationpb.New(10 * time.Second),
			}
			for range 3 {
				if _, err := c.Search(context.Background(), request); err != nil {
					b.Fatal(err)
				}
			}
			var missing atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					answer, err := c.Search(context.Background(), request)
					if err != nil || len(answer.ShardsCovered) != shards {
						missing.Add(1)
					}
				}
			})
			b.StopTimer()
			perAttempt := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / float64(shards)
			b.ReportMetric(perAttempt, "ns/attempt")
			b.ReportMetric(1e9/perAttempt/float64(runtime.GOMAXPROCS(0)), "attempts/s/core")
			b.ReportMetric(float64(missing.Load())/float64(b.N), "incomplete")
			runtime.KeepAlive(f)
		})
	}
}

// BenchmarkDirect measures requests sent to a stand-in upstream without an entry VM.
func BenchmarkDirect(b *testing.B) {
	f, _ := startBench(b, 1)
	address := f.Upstreams[0].Address()
	var c upstream.Client
	defer func() { _ = c.Close() }()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			reply := c.Send(context.Background(), &node.Action{
				Attempt: 1, Address: address, Connections: 512, Service: "route-planner", Snapshot: 1, Body: []byte("nuts"),
			})
			if reply.Outcome != replica.OK {
				b.Error(reply.Outcome)
			}
		}
	})
}

// BenchmarkAnswerSize reports the encoded size of an answer per fan-out and codec.
func BenchmarkAnswerSize(b *testing.B) {
	for _, shards := range []int{10, 100, 1100} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			answer := &node.Answer{Snapshot: 12, Map: 3, Preset: "ordinary", Took: 30 * time.Millisecond}
			for i := range shards {
				id := ident.ShardID(i)
				answer.Coverage.Covered = append(answer.Coverage.Covered, id)
				answer.Parts = append(answer.Parts, node.Part{Shard: id, Replica: "route-planner-10-2", Result: make([]byte, 64)})
			}
			m := codec.SearchAnswer("entry-0", answer)
			binary, text := encodedSizes(b, m)
			for range b.N {
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(binary), "B-protobuf")
			b.ReportMetric(float64(text), "B-json")
		})
	}
}
