package peer_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/serve/peer"
)

type inbox chan string

func (i inbox) Message(_ context.Context, from ident.VMID, body []byte) {
	i <- string(from) + ":" + string(body)
}

func (i inbox) Call(_ context.Context, from ident.VMID, body []byte) []byte {
	return append([]byte(from+":"), body...)
}

func listen(t testing.TB, keys *peer.Keys) (*peer.Transport, inbox) {
	t.Helper()
	in := make(inbox, 1024)
	transport, err := peer.Listen("127.0.0.1:0", keys, in)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Close() })
	return transport, in
}

func issue(t testing.TB, a *peer.Authority, folder, vm string) *peer.Keys {
	t.Helper()
	keys, err := a.Issue(folder, vm, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func authority(t testing.TB) *peer.Authority {
	t.Helper()
	a, err := peer.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func receive(t testing.TB, in inbox, want string) {
	t.Helper()
	select {
	case got := <-in:
		if got != want {
			t.Fatalf("received %q, expected %q", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("did not receive %q", want)
	}
}

func TestMessagesAndCalls(t *testing.T) {
	a, folder := authority(t), t.TempDir()
	entry1, _ := listen(t, issue(t, a, folder, "entry-1"))
	entry2, in := listen(t, issue(t, a, folder, "entry-2"))
	entry1.Send("entry-2", entry2.Address(), []byte("hello"))
	receive(t, in, "entry-1:hello")
	response, err := entry1.Call(context.Background(), "entry-2", entry2.Address(), []byte("ask"))
	if err != nil || string(response) != "entry-1:ask" {
		t.Fatalf("response %q, %v", response, err)
	}
}

// TestUntrustedPeersAreRejected checks that a peer with a certificate of another
// authority cannot send messages or calls, and that a VM does not get the calls
// to another VM.
func TestUntrustedPeersAreRejected(t *testing.T) {
	a, folder := authority(t), t.TempDir()
	entry2, in := listen(t, issue(t, a, folder, "entry-2"))
	untrusted, _ := listen(t, issue(t, authority(t), t.TempDir(), "entry-1"))
	entry1, _ := listen(t, issue(t, a, folder, "entry-1"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	untrusted.Send("entry-2", entry2.Address(), []byte("hello"))
	if _, err := untrusted.Call(ctx, "entry-2", entry2.Address(), []byte("ask")); err == nil {
		t.Fatal("a peer with a certificate of another authority got a response")
	}
	if _, err := entry1.Call(ctx, "entry-3", entry2.Address(), []byte("ask")); err == nil {
		t.Fatal("entry-2 responded to a call to entry-3")
	}
	select {
	case got := <-in:
		t.Fatalf("received %q", got)
	default:
	}
}

// TestKeysRotateWithoutRestart checks that a running listener reloads its files
// after they were replaced by those of a new authority.
func TestKeysRotateWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	first := authority(t)
	entry2, in := listen(t, issue(t, first, folder, "entry-2"))
	second, otherFolder := authority(t), t.TempDir()
	entry1, _ := listen(t, issue(t, second, otherFolder, "entry-1"))
	issue(t, second, folder, "entry-2")
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"entry-2.crt", "entry-2.key", "authority.crt"} {
		if err := os.Chtimes(filepath.Join(folder, name), later, later); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		entry1.Send("entry-2", entry2.Address(), []byte("after"))
		select {
		case got := <-in:
			if got != "entry-1:after" {
				t.Fatalf("received %q", got)
			}
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
	t.Fatal("the new keys were not loaded")
}

// BenchmarkOpenLink measures a message over an established connection.
func BenchmarkOpenLink(b *testing.B) {
	a, folder := authority(b), b.TempDir()
	entry1, _ := listen(b, issue(b, a, folder, "entry-1"))
	entry2, in := listen(b, issue(b, a, folder, "entry-2"))
	body := make([]byte, 200)
	b.ResetTimer()
	for range b.N {
		entry1.Send("entry-2", entry2.Address(), body)
		<-in
	}
}

// BenchmarkNewLink measures the first message to a VM, including the handshake
// with client and server certificates. Both VMs run in this process.
func BenchmarkNewLink(b *testing.B) {
	a, folder := authority(b), b.TempDir()
	keys := issue(b, a, folder, "entry-1")
	entry2, in := listen(b, issue(b, a, folder, "entry-2"))
	body := make([]byte, 200)
	b.ResetTimer()
	for range b.N {
		entry1, err := peer.Listen("127.0.0.1:0", keys, make(inbox, 1))
		if err != nil {
			b.Fatal(err)
		}
		entry1.Send("entry-2", entry2.Address(), body)
		<-in
		if err := entry1.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
