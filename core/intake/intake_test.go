package intake_test

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/intake"
	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

const (
	connections = 40
	memory      = ident.Bytes(1 << 20)
	largeBody   = ident.Bytes(256 << 10)
	smallBody   = ident.Bytes(8 << 10)
	start       = ident.Instant(time.Hour)
)

func newLedger() *intake.Ledger[int] {
	return intake.New[int](intake.Limits{Connections: connections, Memory: memory})
}

// arrive opens a connection and lets a part of a body arrive. It returns whether the
// connection was opened and the part was held.
func arrive(l *intake.Ledger[int], now ident.Instant, k int, size ident.Bytes) bool {
	if _, _, ok := l.Open(now, k); !ok {
		return false
	}
	l.Enter(now, k, intake.Head)
	l.Enter(now, k, intake.Body)
	l.Receive(now, k, size)
	return hold(l, now, k, size) == intake.Held
}

// hold is Hold, with callers that release their memory as soon as they are refused.
func hold(l *intake.Ledger[int], now ident.Instant, k int, n ident.Bytes) intake.Verdict {
	for {
		refused, verdict := l.Hold(now, k, n)
		for _, victim := range refused {
			l.Release(victim, memory)
		}
		if verdict != intake.Wait {
			return verdict
		}
	}
}

// TestLargeBodiesThatStopShort has a crowd of large bodies, opened faster than any is
// given up, that stop just short of their end. A small body arrives beside them at any
// time, and a large one as soon as they stand still.
func TestLargeBodiesThatStopShort(t *testing.T) {
	l, now := newLedger(), start
	for k := range 3 * connections {
		now = now.Add(10 * time.Millisecond)
		arrive(l, now, k, largeBody)
		if now = now.Add(time.Millisecond); !arrive(l, now, -1, smallBody) || !l.Enter(now, -1, intake.Running) {
			t.Fatalf("a small body was refused beside %d large ones", k)
		}
		l.Close(-1)
	}
	now = now.Add(2 * time.Second)
	if !arrive(l, now, -2, largeBody) {
		t.Error("a large body was refused beside others that stand still")
	}
}

// TestBodiesThatAreNotWanted has a crowd whose requests are answered before their bodies
// have arrived, which never do. Their memory is wanted first.
func TestBodiesThatAreNotWanted(t *testing.T) {
	l, now := newLedger(), start
	for k := range 4 {
		arrive(l, now, k, largeBody)
		l.Enter(now, k, intake.Discarding)
	}
	if !arrive(l, now.Add(time.Millisecond), -1, largeBody) {
		t.Error("a body was refused beside others that are not wanted")
	}
}

// TestBodiesThatTrickle has a crowd that keeps sending its bodies, a byte at a time. One
// that moves at an ordinary rate is held, although it has cost more so far.
func TestBodiesThatTrickle(t *testing.T) {
	l, now := newLedger(), start
	const crowd, size = 36, memory / 43
	for k := range crowd {
		arrive(l, now, k, size)
	}
	ordinary := arrive(l, now.Add(5*time.Second), -1, largeBody/2)
	for range 62 {
		now = now.Add(100 * time.Millisecond)
		for k := range crowd {
			l.Receive(now, k, 1)
		}
	}
	l.Receive(now, -1, largeBody/2)
	ok := hold(l, now, -1, largeBody/2) == intake.Held
	if !ordinary || !ok || l.Used() > memory {
		t.Errorf("a body was refused beside others that trickle; %d bytes in use", l.Used())
	}
}

// TestConnectionsThatAskNothing has a flood of connections that ask nothing, or a part of
// a head. Those that were idle before are kept, and a new caller gets a connection.
func TestConnectionsThatAskNothing(t *testing.T) {
	l, now := newLedger(), start
	const kept = connections / 4
	for k := range kept {
		l.Open(now, k)
		l.Enter(now, k, intake.Running)
		l.Enter(now, k, intake.Idle)
	}
	for k := kept; k < 20*connections; k++ {
		now = now.Add(time.Millisecond)
		victim, turnedAway, ok := l.Open(now, k)
		if !ok || (turnedAway && victim < kept) {
			t.Fatalf("connection %d: opened %v, in place of %d", k, ok, victim)
		}
		if k%2 == 0 {
			l.Enter(now, k, intake.Head)
		}
	}
	if !arrive(l, now, -1, smallBody) || l.Len() > connections {
		t.Errorf("a caller was refused; %d connections", l.Len())
	}
}

// TestConnectionsThatAskOnce has a flood of connections that ask once and stay open.
// Callers that were there before, and come back now and then, keep theirs.
func TestConnectionsThatAskOnce(t *testing.T) {
	l, now := newLedger(), start
	ask := func(k int) {
		l.Enter(now, k, intake.Running)
		l.Enter(now, k, intake.Idle)
	}
	const kept = 5
	for k := range 20 * connections {
		if now = now.Add(time.Millisecond); k >= kept && k%7 == 0 {
			ask(k % kept)
		}
		if victim, turnedAway, ok := l.Open(now, k); !ok || (turnedAway && victim < kept) {
			t.Fatalf("connection %d: opened %v, in place of %d", k, ok, victim)
		}
		ask(k)
	}
}

// TestAnswersThatAreNotRead has callers that read nothing of their answers. They make
// room once they have stood still; requests that run, and the one connection that is
// idle, do not.
func TestAnswersThatAreNotRead(t *testing.T) {
	l, now := newLedger(), start
	for k := range connections {
		l.Open(now, k)
		l.Enter(now, k, intake.Running)
		l.Write(now, k, k%2 == 0)
	}
	l.Enter(now, 1, intake.Idle)
	if _, _, ok := l.Open(now, -1); ok {
		t.Error("a request that runs, or the last idle connection, was cut off")
	}
	now = now.Add(2 * time.Second)
	l.Write(now, 0, true)
	for k := range connections/2 - 1 {
		if victim, _, ok := l.Open(now, connections+k); !ok || victim == 0 || victim%2 != 0 {
			t.Errorf("opened %v in place of %d", ok, victim)
		}
		l.Enter(now, connections+k, intake.Running)
	}
	l.Enter(now, 1, intake.Running)
	if victim, _, ok := l.Open(now, -1); ok {
		t.Errorf("connection %d was cut off, although all others are in use", victim)
	}
}

// TestWholeRequestsWhoseAnswersAreNotRead has callers that send whole requests and read
// nothing of the answers. Their memory is wanted once they have stood still; that of
// requests that run, or whose answers are taken, is not.
func TestWholeRequestsWhoseAnswersAreNotRead(t *testing.T) {
	l, now := newLedger(), start
	for k := range 4 {
		arrive(l, now, k, largeBody)
		l.Enter(now, k, intake.Running)
		l.Write(now, k, k >= 2)
	}
	now = now.Add(2 * time.Second)
	l.Write(now, 2, true)
	l.Open(now, -1)
	l.Enter(now, -1, intake.Head)
	refused, verdict := l.Hold(now, -1, smallBody)
	if verdict != intake.Wait || len(refused) != 1 || refused[0] != 3 || !l.Stalled(now, 3) {
		t.Fatalf("verdict %d, refused %v", verdict, refused)
	}
	l.Close(3)
	if _, verdict = l.Hold(now, -1, smallBody); verdict != intake.Held {
		t.Errorf("verdict %d after an answer was given up", verdict)
	}
	if stalled := l.GiveUp(now.Add(time.Second)); len(stalled) != 1 || stalled[0] != 2 {
		t.Errorf("connections %v were given up", stalled)
	}
}

// TestLedgerKeepsItsLimits checks with random events that the limits hold, that only
// requests that are still arriving are refused, and that all memory is returned.
func TestLedgerKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := newLedger(), start
		phases, detached := map[int]intake.Phase{}, ident.Bytes(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, 2*connections).Draw(t, "connection")
			phase, open := phases[k]
			switch event := rapid.IntRange(0, 6).Draw(t, "event"); {
			case !open:
				victim, turnedAway, ok := l.Open(now, k)
				if turnedAway && phases[victim] == intake.Running {
					t.Fatalf("connection %d was closed while its request ran", victim)
				}
				if turnedAway {
					l.Close(victim)
					delete(phases, victim)
				}
				if ok {
					phases[k] = intake.Waiting
				}
			case event == 0:
				l.Close(k)
				delete(phases, k)
			case event <= 3 && (phase == intake.Head || phase == intake.Body):
				refused, verdict := l.Hold(now, k, ident.Bytes(rapid.IntRange(1, int(memory)).Draw(t, "bytes")))
				for _, victim := range refused {
					if p := phases[victim]; p != intake.Head && p != intake.Body && p != intake.Discarding {
						t.Fatalf("connection %d was refused in phase %d", victim, p)
					}
					phases[victim] = intake.Refused
				}
				if verdict == intake.Denied {
					phases[k] = intake.Refused
				}
			case phase == intake.Refused:
				l.Release(k, memory)
			case phase == intake.Running && event <= 4:
				detached += l.Detach(k)
				l.Enter(now, k, intake.Idle)
				phases[k] = intake.Idle
			case phase == intake.Body && event == 4:
				l.Enter(now, k, intake.Discarding)
				phases[k] = intake.Discarding
			case phase != intake.Refused:
				next := map[intake.Phase]intake.Phase{
					intake.Waiting: intake.Head, intake.Idle: intake.Head, intake.Head: intake.Body,
					intake.Body: intake.Running, intake.Running: intake.Running, intake.Discarding: intake.Discarding,
				}[phase]
				if !l.Enter(now, k, next) {
					t.Fatalf("connection %d cannot enter phase %d", k, next)
				}
				phases[k] = next
			}
			if l.Len() > connections || l.Len() != len(phases) || l.Used() > memory {
				t.Fatalf("%d connections of %d, %d bytes", l.Len(), len(phases), l.Used())
			}
		}
		for k := range phases {
			l.Close(k)
		}
		if l.Return(detached); l.Used() != 0 {
			t.Fatalf("%d bytes are left", l.Used())
		}
	})
}
