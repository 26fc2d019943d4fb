package pace_test

import (
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/pace"
	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

const (
	median = 20 * time.Millisecond
	start  = ident.Instant(time.Hour)
	slots  = 4
	// vmLimit is the number of requests of one VM without a pace.
	vmLimit = 3
)

// A vm sends requests to one replica.
type vm struct {
	pace     pace.Pace
	share    pace.Share
	waiting  int
	inFlight []ident.Instant
}

// A server runs requests in its slots and keeps the others in a queue.
type server struct {
	free     [slots]ident.Instant
	slowdown func(now ident.Instant) float64
	// crashAbove is the number of arrivals within 100 ms at which it crashes; 0 for never.
	crashAbove, crashes int
	upAt                ident.Instant
	arrivals            []ident.Instant
}

// queueLength is the number of requests that a server keeps besides those in its slots.
const queueLength = 24

// serve returns the result of a request that arrives at now, and its end.
func (s *server) serve(now ident.Instant) (pace.Result, ident.Instant) {
	s.arrivals = append(s.arrivals, now)
	if now < s.upAt {
		return pace.Lost, now.Add(time.Millisecond)
	}
	recent := 0
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i] > now.Add(-100*time.Millisecond) && s.arrivals[i] >= s.upAt; i-- {
		recent++
	}
	if s.crashAbove > 0 && recent > s.crashAbove {
		s.crashes++
		s.upAt = now.Add(500 * time.Millisecond)
		return pace.Lost, now.Add(time.Millisecond)
	}
	work := time.Duration(float64(median) * s.slowdown(now))
	first := 0
	for i := range s.free {
		if s.free[i] < s.free[first] {
			first = i
		}
	}
	begin := max(now, s.free[first])
	if begin.Sub(now) > work*queueLength/slots {
		return pace.Refused, now.Add(time.Millisecond)
	}
	s.free[first] = begin.Add(work)
	return pace.Replied, s.free[first]
}

// A load is what the server got in one second.
type load struct{ sent, good, refused, lost int }

// An ending is a request whose end is due.
type ending struct {
	due    ident.Instant
	by     *vm
	sent   ident.Instant
	result pace.Result
}

// backlog is the number of requests that wait in each VM when the server starts.
const backlog = 3

// patience is how long the backlog waits.
const patience = 300 * time.Millisecond

// run lets VMs send to a server that starts at start. At first each VM has a backlog. Then
// requests arrive at a rate per second, at VMs in turn; those that may not be sent go to
// other servers. It returns the load of each second.
func run(s *server, vms, seconds, rate int, paced bool) []load {
	loads := make([]load, seconds)
	var senders []*vm
	for rank := range vms {
		v := &vm{share: pace.Share{Slots: slots, VMs: vms, Rank: rank, Limit: vmLimit}, waiting: backlog}
		if paced {
			v.pace.Begin(start, v.share)
		}
		senders = append(senders, v)
	}
	var endings []ending
	arrived := 0
	for now := start; now < start.Add(time.Duration(seconds)*time.Second); now = now.Add(time.Millisecond) {
		second := &loads[int(now.Sub(start)/time.Second)]
		endings = slices.DeleteFunc(endings, func(e ending) bool {
			if e.due > now {
				return false
			}
			e.by.inFlight = e.by.inFlight[1:]
			e.by.pace.Observe(now, e.by.share, pace.Reply{Result: e.result, Sent: e.sent, Took: now.Sub(e.sent), Median: median})
			switch e.result {
			case pace.Replied:
				second.good++
			case pace.Refused:
				second.refused++
			case pace.Lost, pace.Cancelled:
				second.lost++
			}
			return true
		})
		for ; arrived*int(time.Second) < rate*int(now.Sub(start)); arrived++ {
			senders[arrived*7%vms].waiting++
		}
		for _, v := range senders {
			for v.waiting > 0 && len(v.inFlight) < vmLimit && v.pace.Allows(now, v.share, len(v.inFlight), median, false) {
				v.pace.Sent()
				v.waiting--
				result, due := s.serve(now)
				v.inFlight = append(v.inFlight, now)
				endings = append(endings, ending{due, v, now, result})
				second.sent++
			}
			if now > start.Add(patience) {
				v.waiting = 0
			}
		}
	}
	return loads
}

// slowAtFirst returns the slowdown of a replica that is 1.6 times slower for 3 s.
func slowAtFirst(now ident.Instant) float64 {
	if now < start.Add(3*time.Second) {
		return 1.6
	}
	return 1
}

func fullStrength(ident.Instant) float64 { return 1 }

// TestReplicaThatStartsSlow checks that a replica that is 1.6 times slower for 3 s gets no
// flood from the requests that waited for it, and is soon in full use.
func TestReplicaThatStartsSlow(t *testing.T) {
	const capacity = 125 // a second, while the replica is slow
	for _, vms := range []int{1, 32, 140, 300} {
		paced := run(&server{slowdown: slowAtFirst}, vms, 5, capacity, true)
		flooded := run(&server{slowdown: slowAtFirst}, vms, 5, capacity, false)
		t.Logf("%d VMs: %v with a pace, %v without", vms, paced, flooded)
		if first := paced[0]; first.refused > capacity/5 {
			t.Errorf("%d VMs: %+v in the first second", vms, first)
		}
		if vms >= 32 && flooded[0].refused < 2*max(paced[0].refused, capacity/5) {
			t.Errorf("%d VMs: %+v in the first second without a pace, which is no flood", vms, flooded[0])
		}
		if second := paced[1]; second.good < capacity*2/3 {
			t.Errorf("%d VMs: %+v in the second second: the replica is idle", vms, second)
		}
	}
}

// TestReplicaBackAtFullStrength checks that a replica that is not slow at all gets its
// fair share of the load in its second second.
func TestReplicaBackAtFullStrength(t *testing.T) {
	const fairShare = 100 // a second, half of the capacity
	for _, vms := range []int{1, 32, 140, 300} {
		loads := run(&server{slowdown: fullStrength}, vms, 3, fairShare, true)
		t.Logf("%d VMs: %v", vms, loads)
		if loads[0].good < fairShare/3 || loads[1].good < fairShare*3/4 {
			t.Errorf("%d VMs: %+v in the first second, %+v in the next one", vms, loads[0], loads[1])
		}
	}
}

// TestReplicaThatCrashesAboveARate checks that a replica that crashes when the requests
// that waited for it arrive at once, again after each start, stays up with a pace.
func TestReplicaThatCrashesAboveARate(t *testing.T) {
	for _, vms := range []int{32, 140} {
		serve := func(paced bool) (crashes, good int) {
			s := &server{slowdown: fullStrength, crashAbove: 30}
			for _, l := range run(s, vms, 3, 100, paced) {
				good += l.good
			}
			return s.crashes, good
		}
		crashes, good := serve(true)
		flooded, goodFlooded := serve(false)
		t.Logf("%d VMs: %d crashes, %d replies with a pace; %d crashes, %d replies without", vms, crashes, good, flooded, goodFlooded)
		if crashes > 0 || flooded == 0 {
			t.Errorf("%d VMs: %d crashes and %d replies with a pace, %d and %d without", vms, crashes, good, flooded, goodFlooded)
		}
	}
}

// TestFirstSecondIsBounded checks that all VMs together send a replica in its first second
// at most what its slots can run in the usual time, one request, and four more for each
// good reply, whatever the replies are: a good reply doubles the share of its VM, and the
// time that passes may double that once more. Each VM whose other replicas are not sound for
// some of the time sends at most one more.
func TestFirstSecondIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(slots, 300).Draw(t, "VMs")
		goodShare := rapid.Float64Range(0, 1).Draw(t, "good share")
		loneVMs := rapid.Float64Range(0, 1).Draw(t, "share of VMs that are alone at times")
		loneTime := rapid.Float64Range(0, 1).Draw(t, "share of the time that they are alone")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sent, good, lone := 0, 0, 0
		for rank := range vms {
			v := &vm{share: pace.Share{Slots: slots, VMs: vms, Rank: rank, Limit: vmLimit}}
			v.pace.Begin(start, v.share)
			mayBeAlone := random.Float64() < loneVMs
			if mayBeAlone {
				lone++
			}
			for now := start; now < start.Add(time.Second); now = now.Add(time.Millisecond) {
				if len(v.inFlight) > 0 && now.Sub(v.inFlight[0]) >= median {
					r := pace.Reply{Result: pace.Refused, Sent: v.inFlight[0], Took: median, Median: median}
					if random.Float64() < goodShare {
						r.Result = pace.Replied
						good++
					}
					v.inFlight = v.inFlight[1:]
					v.pace.Observe(now, v.share, r)
				}
				alone := mayBeAlone && random.Float64() < loneTime
				for len(v.inFlight) < vmLimit && v.pace.Allows(now, v.share, len(v.inFlight), median, alone) {
					v.pace.Sent()
					v.inFlight = append(v.inFlight, now)
					sent++
				}
			}
		}
		if most := slots*int(time.Second/median) + 1 + 4*good + lone; sent > most {
			t.Fatalf("%d VMs, %d of them alone at times, sent %d requests, of which %d had a good reply; at most %d allowed", vms, lone, sent, good, most)
		}
	})
}

// TestLoneReplicaIsNotIdle checks that a VM whose shard has no other replica may send a
// request at once, and that after refusals each VM still gets its turn in the time in which the
// slots serve one request of each VM.
func TestLoneReplicaIsNotIdle(t *testing.T) {
	v := &vm{share: pace.Share{Slots: slots, VMs: 140, Rank: 139, Limit: vmLimit}}
	v.pace.Begin(start, v.share)
	if v.pace.Allows(start, v.share, 0, median, false) {
		t.Error("the VM of the last rank may send at once although another replica has no pace")
	}
	if !v.pace.Allows(start, v.share, 0, median, true) {
		t.Error("a lone replica gets nothing")
	}
	now := start.Add(median)
	v.pace.Observe(now, v.share, pace.Reply{Result: pace.Refused, Sent: start, Took: median, Median: median})
	if v.pace.Allows(now, v.share, 0, median, true) {
		t.Error("a VM may send again right after a refusal")
	}
	if turn := now.Add(140 / slots * median); !v.pace.Allows(turn, v.share, 0, median, true) {
		t.Error("a VM that was refused gets no turn")
	}
}

// TestBadRepliesReduceThePace checks that a refused, a lost or a slow reply halves the load,
// that time alone does not raise it again within a second, and that it then rises slowly.
func TestBadRepliesReduceThePace(t *testing.T) {
	share := pace.Share{Slots: 16, VMs: 1, Limit: 64}
	for _, bad := range []pace.Reply{
		{Result: pace.Refused, Took: time.Millisecond},
		{Result: pace.Lost, Took: time.Millisecond},
		{Result: pace.Replied, Took: 5 * median},
		{Result: pace.Cancelled, Took: 5 * median},
	} {
		var p pace.Pace
		p.Begin(start.Add(time.Second), share)
		if p.Allows(start, share, 0, median, true) {
			t.Error("a request is allowed before the pace begins")
		}
		now := start.Add(time.Second + median)
		reply := func(r pace.Reply) float64 {
			r.Sent, r.Median = now, median
			now = now.Add(median)
			p.Observe(now, share, r)
			return p.Total()
		}
		good := pace.Reply{Result: pace.Replied, Took: median}
		if got := reply(good); got != 16 {
			t.Fatalf("the concurrency after a good reply is %v, expected 16", got)
		}
		if got := reply(bad); got != 8 {
			t.Errorf("%+v: the concurrency is %v, expected 8", bad, got)
		}
		if now = now.Add(900 * time.Millisecond); !p.Active(now, share) || p.Total() != 8 {
			t.Errorf("%+v: the concurrency is %v without another reply, expected 8", bad, p.Total())
		}
		if got := reply(good); got != 12 {
			t.Errorf("%+v: the concurrency after the next good reply is %v, expected 12", bad, got)
		}
	}
}

// TestLateRepliesInAHold checks that replies to requests that were sent before a hold change
// nothing in the pace that begins at its end.
func TestLateRepliesInAHold(t *testing.T) {
	share := pace.Share{Slots: slots, VMs: 140, Rank: 139, Limit: vmLimit}
	for _, result := range []pace.Result{pace.Refused, pace.Replied} {
		var p pace.Pace
		end := start.Add(10 * time.Second)
		p.Begin(end, share)
		p.Observe(start.Add(time.Second), share, pace.Reply{Result: result, Sent: start, Took: time.Second, Median: time.Second})
		p.Observe(end.Add(median), share, pace.Reply{Result: result, Sent: start, Took: 10 * time.Second, Median: 10 * time.Second})
		if now := end.Add(2 * median); !p.Active(now, share) || p.Total() != slots/2 || p.Reduced() {
			t.Errorf("result %d: the concurrency is %v after the hold, expected %d", result, p.Total(), slots/2)
		}
	}
}

// TestPaceEndsWithFatTailedLatency checks that a pace ends within 10 s if one reply in five is
// slow although the replica refuses nothing, and goes on while it refuses requests.
func TestPaceEndsWithFatTailedLatency(t *testing.T) {
	for _, vms := range []int{1, 6, 32, 140} {
		for bad, goesOn := range map[pace.Reply]bool{
			{Result: pace.Replied, Took: 6 * median}: false,
			{Result: pace.Refused, Took: median}:     true,
		} {
			share := pace.Share{Slots: slots, VMs: vms, Limit: vmLimit}
			var p pace.Pace
			p.Begin(start, share)
			now := start
			for n := 0; now < start.Add(10*time.Second); n++ {
				r := pace.Reply{Result: pace.Replied, Took: median}
				if n%5 == 0 || goesOn {
					r = bad
				}
				r.Sent, r.Median = now, median
				now = now.Add(3 * median).Add(r.Took)
				p.Observe(now, share, r)
			}
			if active := p.Active(now, share); active != goesOn {
				t.Errorf("%d VMs, %+v: active is %v after %v", vms, bad, active, now.Sub(start))
			}
		}
	}
}

// TestRequestBeforeItsTurnIsOwed checks that a VM that sent a request before its turn, when no
// other replica was sound, misses that turn once another one is.
func TestRequestBeforeItsTurnIsOwed(t *testing.T) {
	share := pace.Share{Slots: slots, VMs: 60, Rank: 59, Limit: vmLimit}
	turn := func(before bool) ident.Instant {
		var p pace.Pace
		p.Begin(start, share)
		if before && p.Allows(start, share, 0, median, true) {
			p.Sent()
		}
		now := start
		for !p.Allows(now, share, 0, median, false) {
			now = now.Add(median)
		}
		return now
	}
	if own, late := turn(false), turn(true); late < own.Add(5*median) {
		t.Errorf("the turn is after %v, and after %v for a VM that sent before it", own.Sub(start), late.Sub(start))
	}
}
