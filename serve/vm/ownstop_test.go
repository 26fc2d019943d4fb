package vm

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/peer"
)

// TestOwnStopIsNotALostMirror guards against a log in which the stop of a VM, or a question
// that it no longer needs, looks like the loss of the other VMs.
func TestOwnStopIsNotALostMirror(t *testing.T) {
	const digest = "unknown"
	identity, err := peer.NewPinned("vm-0", func(ident.VMID) (string, bool) { return digest, true }, nil)
	if err != nil {
		t.Fatal(err)
	}
	transport, err := peer.Listen("127.0.0.1:0", identity, peerHandler{})
	if err != nil {
		t.Fatal(err)
	}
	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	lines := &logBuffer{}
	c := mirrorClient{&VM{log: zerolog.New(lines), peers: transport}}
	ask := func(ctx context.Context) {
		t.Helper()
		to := mirror.Member{VM: "vm-1", Address: silent.LocalAddr().String(), Certificate: digest}
		if _, err := c.Ask(ctx, to, mirror.Question{Kind: "config"}); err == nil {
			t.Fatal("a question without an answer succeeded")
		}
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	ask(cancelled)
	if got := lines.events(t, "mirror-lost"); len(got) > 0 {
		t.Errorf("a question that the VM gave up: %v", got)
	}
	timedOut, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	ask(timedOut)
	expectLine(t, lines.events(t, "mirror-lost"), map[string]any{"vm": "vm-1", "kind": "config", "level": "warn"})
	if err := transport.Close(); err != nil {
		t.Fatal(err)
	}
	ask(context.Background())
	if got := lines.events(t, "mirror-lost"); len(got) != 1 {
		t.Errorf("a question after the stop: %v", got[1:])
	}
}

// A stuckStore answers no write before the context is done.
type stuckStore struct{}

func (stuckStore) EntryVersion(context.Context, string) (platform.StoreVersion, error) {
	return 0, nil
}

func (stuckStore) Enter(ctx context.Context, _ platform.ListedVM, _ platform.StoreVersion) (platform.StoreVersion, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (stuckStore) Withdraw(context.Context, string, platform.StoreVersion) error { return nil }

func (stuckStore) WriteStage(ctx context.Context, _ string, _ rollout.OrderID, stage rollout.Stage) (rollout.Stage, error) {
	<-ctx.Done()
	return stage, ctx.Err()
}

// TestOwnStopIsNoFailedWrite guards against a store that seems to fail when a VM stops while
// it writes.
func TestOwnStopIsNoFailedWrite(t *testing.T) {
	identity, err := peer.NewPinned("vm-0", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	lines := &logBuffer{}
	v := &VM{
		log: zerolog.New(lines), mirrors: &mirrors{identity: identity},
		discovery: &Discovery{Registry: stuckStore{}, Rollouts: Rollouts{Writer: stuckStore{}}},
	}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, 2)
		go func() { v.addEntry(ctx, roster.Member{VM: "vm-0"}); ended <- struct{}{} }()
		go func() {
			w := stageWriter{vm: v, attempts: map[ident.ServiceID]*stageAttempt{}}
			w.write(ctx, []rollout.Write{{Order: rollout.Order{Service: "s"}}})
			ended <- struct{}{}
		}()
		synctest.Wait()
		cancel()
		<-ended
		<-ended
	})
	for _, event := range []string{"vm-not-listed", "rollout-status-written"} {
		if got := lines.events(t, event); len(got) > 0 {
			t.Errorf("%s: %v", event, got)
		}
	}
}
