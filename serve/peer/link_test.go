package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/serve/peer"
)

// callWithin calls a VM and returns the error if it does not respond in time.
func callWithin(from *peer.Transport, d time.Duration, vm ident.VMID, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, err := from.Call(ctx, vm, address, []byte("ask"))
	return err
}

// TestMoreVMsThanLinks guards against VMs that cannot be asked because others were asked
// before: a deployment may have more VMs than a VM keeps links.
func TestMoreVMsThanLinks(t *testing.T) {
	a, folder := authority(t), t.TempDir()
	caller, _ := listen(t, issue(t, a, folder, "entry-0"))
	const vms = 70
	for i := range vms {
		vm := ident.VMID(fmt.Sprint("entry-", i+1))
		callee, _ := listen(t, issue(t, a, folder, string(vm)))
		if err := callWithin(caller, 10*time.Second, vm, callee.Address()); err != nil {
			t.Fatalf("the call to VM %d of %d: %v", i+1, vms, err)
		}
	}
}

// A relay forwards the packets of one caller to a VM whose process can be replaced without
// a notice to the caller, as by a kill.
type relay struct {
	conn *net.UDPConn
	mu   sync.Mutex
	// callee and caller are the addresses of the two ends.
	callee, caller *net.UDPAddr
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{conn: conn}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.run()
	}()
	t.Cleanup(func() {
		_ = conn.Close()
		<-ended
	})
	return r
}

func (r *relay) run() {
	packet := make([]byte, 1<<16)
	for {
		n, from, err := r.conn.ReadFromUDP(packet)
		if err != nil {
			return
		}
		if to := r.otherEnd(from); to != nil {
			// A packet that is lost is sent again.
			_, _ = r.conn.WriteToUDP(packet[:n], to)
		}
	}
}

// otherEnd returns where to forward a packet; nil to drop it.
func (r *relay) otherEnd(from *net.UDPAddr) *net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callee != nil && from.Port == r.callee.Port {
		return r.caller
	}
	r.caller = from
	return r.callee
}

// connect forwards to a VM's process from now on, or to none if transport is nil.
func (r *relay) connect(t *testing.T, transport *peer.Transport) {
	t.Helper()
	var callee *net.UDPAddr
	if transport != nil {
		var err error
		if callee, err = net.ResolveUDPAddr("udp", transport.Address()); err != nil {
			t.Fatal(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callee = callee
}

// TestRestartedVMIsReachedAgain guards against questions that are sent over a connection to
// a process that was killed, until the connection is idle for a minute.
func TestRestartedVMIsReachedAgain(t *testing.T) {
	a, folder := authority(t), t.TempDir()
	caller, _ := listen(t, issue(t, a, folder, "entry-0"))
	keys := issue(t, a, folder, "entry-1")
	r := newRelay(t)
	address := r.conn.LocalAddr().String()
	killed, err := peer.Listen("127.0.0.1:0", keys, inbox(nil))
	if err != nil {
		t.Fatal(err)
	}
	r.connect(t, killed)
	if err := callWithin(caller, 10*time.Second, "entry-1", address); err != nil {
		t.Fatal(err)
	}
	r.connect(t, nil)
	if err := killed.Close(); err != nil {
		t.Fatal(err)
	}
	restarted, _ := listen(t, keys)
	r.connect(t, restarted)
	// The first call finds that the connection is dead.
	_ = callWithin(caller, 1500*time.Millisecond, "entry-1", address)
	if err := callWithin(caller, 5*time.Second, "entry-1", address); err != nil {
		t.Fatalf("the second call after a restart: %v", err)
	}
}

// TestCallsOfAClosedTransportAreNotUnreachable guards against the stop of a VM that its log
// shows as the loss of the others: neither a call that waits nor a later one may blame the
// VM that was called.
func TestCallsOfAClosedTransportAreNotUnreachable(t *testing.T) {
	a, folder := authority(t), t.TempDir()
	caller, err := peer.Listen("127.0.0.1:0", issue(t, a, folder, "entry-0"), inbox(nil))
	if err != nil {
		t.Fatal(err)
	}
	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	address := silent.LocalAddr().String()
	waiting := make(chan error, 1)
	go func() { waiting <- callWithin(caller, time.Minute, "entry-1", address) }()
	// The call waits once its first packet has arrived.
	if _, _, err := silent.ReadFromUDP(make([]byte, 1<<16)); err != nil {
		t.Fatal(err)
	}
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	for name, err := range map[string]error{
		"the call that waited": <-waiting, "a later call": callWithin(caller, time.Minute, "entry-1", address),
	} {
		var e *peer.Error
		if !errors.As(err, &e) || e.Kind != peer.Closed {
			t.Errorf("%s: got %v, expected the kind %s", name, err, peer.Closed)
		}
	}
}
