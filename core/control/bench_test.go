package control_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/serve/codec"
)

// Event rates per hour at the size that the system is designed for.
const (
	changesPerHour  = 46_000 / 24.0
	restartsPerHour = 36_000 / 24.0
	failuresPerHour = 440 / 24.0
	// replicasPerVM is the number of replicas that one VM holds connections to
	// at that size.
	replicasPerVM = 850
	designPeers   = 3_900
)

// A peerTraffic generates the messages that peers send to one core.
type peerTraffic struct {
	core              *control.Core
	now               ident.Instant
	random            *rand.Rand
	peers             int
	current           config.Configuration
	restarts          ident.Incarnation
	bytesIn, bytesOut int
	messagesOut       int
	viewsPublished    int
	// rosterHash is the hash in the latest message of the core. Peers report the
	// same, so that no rosters are synchronised.
	rosterHash uint64
}

func newPeerTraffic(peers int) *peerTraffic {
	p := preset.Ordinary()
	q := p
	q.Name = "peak"
	first, err := config.First([]preset.Preset{p, q}, p.Name)
	if err != nil {
		panic(err)
	}
	t := &peerTraffic{now: ident.Instant(time.Hour), random: rand.New(rand.NewPCG(1, 9)), peers: peers, current: first}
	var seeds []roster.Member
	for i := range peers {
		seeds = append(seeds, t.member(i))
	}
	s := view.Service{ID: "s", Slots: 4, Connections: 35}
	for i := range replicasPerVM {
		s.Replicas = append(s.Replicas, view.Replica{ID: ident.ReplicaID(fmt.Sprint("r-", i)), Zone: zones[i%len(zones)]})
	}
	t.core = control.New(t.now, control.Config{
		Self:  roster.Member{VM: "self", Zone: zones[0], Incarnation: 1, Address: "10.0.0.1:7000"},
		Seeds: seeds, Services: []view.Service{s}, Random: t.random,
	})
	t.core.ConfigurationRead(t.now, first)
	t.drain()
	return t
}

func (t *peerTraffic) member(i int) roster.Member {
	return roster.Member{VM: t.vm(i), Zone: zones[i%len(zones)], Address: "10.0.0.1:7000", Incarnation: 1 + t.restarts}
}

func (t *peerTraffic) vm(i int) ident.VMID { return ident.VMID(fmt.Sprintf("entry-%04d", i)) }

// drain answers the core's probes and counts its messages and bytes.
func (t *peerTraffic) drain() {
	for _, a := range t.core.Drain(nil) {
		switch a.Kind {
		case control.Send:
			body, err := codec.MarshalMessage(t.now, a.Message)
			if err != nil {
				panic(err)
			}
			t.bytesOut += len(body)
			t.rosterHash = a.Message.Digest.Roster
			t.messagesOut++
			if a.Message.Kind == control.Probe {
				t.receive(&control.Message{From: a.To, Kind: control.Ack, Sequence: a.Message.Sequence})
			}
		case control.Publish:
			t.viewsPublished++
		case control.Repair:
		}
	}
}

// receive encodes and decodes a message, like a transport, and passes it to the core.
func (t *peerTraffic) receive(m *control.Message) {
	m.Digest = control.Digest{Configuration: t.current.Version, Roster: t.rosterHash}
	body, err := codec.MarshalMessage(t.now, m)
	if err != nil {
		panic(err)
	}
	t.bytesIn += len(body)
	got, err := codec.UnmarshalMessage(t.now, body)
	if err != nil {
		panic(err)
	}
	t.core.Receive(t.now, got)
}

// simulateSecond generates one second of traffic at the design rates: a probe from a
// random peer, and each change, restart and failure of the fleet pushed by
// pushCopies peers.
func (t *peerTraffic) simulateSecond() {
	const pushCopies = 6
	scale := float64(t.peers) / designPeers
	randomCount := func(perHour float64) int {
		n, expected := 0, perHour/3600
		for ; expected >= 1; expected-- {
			n++
		}
		if t.random.Float64() < expected {
			n++
		}
		return n
	}
	from := t.vm(t.random.IntN(t.peers))
	t.receive(&control.Message{From: from, Kind: control.Probe, Sequence: 7})
	for range randomCount(changesPerHour) {
		name := "peak"
		if t.current.InForce == "peak" {
			name = "ordinary"
		}
		next, err := t.current.Apply(config.Change{ID: config.ChangeID(fmt.Sprint(t.current.Version)), Kind: config.SwitchPreset, Subject: name, Who: "operator", Why: "lunch time"})
		if err != nil {
			panic(err)
		}
		t.current = next
		for range pushCopies {
			changes, _ := next.Since(next.Version - 1)
			t.receive(&control.Message{From: t.vm(t.random.IntN(t.peers)), Kind: control.Push, Changes: changes})
		}
	}
	for range randomCount((restartsPerHour + failuresPerHour) * scale) {
		t.restarts++
		restarted := t.member(t.random.IntN(t.peers))
		for range pushCopies {
			t.receive(&control.Message{From: t.vm(t.random.IntN(t.peers)), Kind: control.Push, Members: []roster.Member{restarted}})
		}
	}
	for end := t.now.Add(time.Second); t.now < end; {
		t.now = min(max(t.core.Wake(), t.now.Add(time.Millisecond)), end)
		t.core.Tick(t.now)
		t.drain()
	}
}

// BenchmarkControlSecond measures one second of one VM's control core at the design
// rates: CPU time, bytes in and out, messages, views, memory.
func BenchmarkControlSecond(b *testing.B) {
	for _, peers := range []int{5, 50, 500, designPeers} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t := newPeerTraffic(peers)
			for range 20 {
				t.simulateSecond()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			t.bytesIn, t.bytesOut, t.messagesOut, t.viewsPublished = 0, 0, 0, 0
			b.ResetTimer()
			for range b.N {
				t.simulateSecond()
			}
			b.StopTimer()
			n := float64(b.N)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/n/1e7, "%core")
			b.ReportMetric(float64(t.bytesIn)/n, "B-in/s")
			b.ReportMetric(float64(t.bytesOut)/n, "B-out/s")
			b.ReportMetric(float64(t.messagesOut)/n, "msgs-out/s")
			b.ReportMetric(float64(t.viewsPublished)/n, "views/s")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MB")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkHops measures the dissemination rule alone: each VM that receives an
// update pushes it to random members of its fixed neighbours, until no VM receives
// it for the first time. It reports the hops and the VMs that were not reached.
func BenchmarkHops(b *testing.B) {
	const fanout, rounds = 3, 2
	for _, size := range []int{5, 50, 500, designPeers} {
		b.Run(fmt.Sprintf("VMs=%d", size), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 4))
			hops, missed, worst := 0, 0, 0
			neighbours := make([][]int, size)
			for vm := range neighbours {
				for range min(roster.Neighbours, size) {
					neighbours[vm] = append(neighbours[vm], random.IntN(size))
				}
			}
			for range b.N {
				depth := make([]int, size)
				frontier := []int{0}
				depth[0] = 1
				known := 1
				for len(frontier) > 0 {
					var next []int
					for _, vm := range frontier {
						for range fanout * rounds {
							if to := neighbours[vm][random.IntN(len(neighbours[vm]))]; depth[to] == 0 {
								depth[to] = depth[vm] + 1
								known++
								next = append(next, to)
							}
						}
					}
					frontier = next
				}
				last := 0
				for _, d := range depth {
					last = max(last, d-1)
				}
				hops += last
				worst = max(worst, size-known)
				missed += size - known
			}
			b.ReportMetric(float64(hops)/float64(b.N), "hops")
			b.ReportMetric(float64(missed)/float64(b.N), "missed-VMs")
			b.ReportMetric(float64(worst), "most-missed")
		})
	}
}
