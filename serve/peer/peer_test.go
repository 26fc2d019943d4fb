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
	one, _ := listen(t, issue(t, a, folder, "entry-1"))
	two, in := listen(t, issue(t, a, folder, "entry-2"))
	one.Send("entry-2", two.Address(), []byte("hello"))
	receive(t, in, "entry-1:hello")
	answer, err := one.Call(context.Background(), "entry-2", two.Address(), []byte("ask"))
	if err != nil || string(answer) != "entry-1:ask" {
		t.Fatalf("answer %q, %v", answer, err)
	}
}

// TestStrangersGetNothing: neither a certificate of another authority nor the
// name of another VM gets a message through.
func TestStrangersGetNothing(t *testing.T) {
	a, folder := authority(t), t.TempDir()
	two, in := listen(t, issue(t, a, folder, "entry-2"))
	stranger, _ := listen(t, issue(t, authority(t), t.TempDir(), "entry-1"))
	one, _ := listen(t, issue(t, a, folder, "entry-1"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	stranger.Send("entry-2", two.Address(), []byte("hello"))
	if _, err := stranger.Call(ctx, "entry-2", two.Address(), []byte("ask")); err == nil {
		t.Fatal("a stranger got an answer")
	}
	if _, err := one.Call(ctx, "entry-3", two.Address(), []byte("ask")); err == nil {
		t.Fatal("entry-2 answered for entry-3")
	}
	select {
	case got := <-in:
		t.Fatalf("received %q", got)
	default:
	}
}

// TestKeysRotateWithoutRestart: a listener takes up a new authority's files.
func TestKeysRotateWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	first := authority(t)
	two, in := listen(t, issue(t, first, folder, "entry-2"))
	second, other := authority(t), t.TempDir()
	one, _ := listen(t, issue(t, second, other, "entry-1"))
	issue(t, second, folder, "entry-2")
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"entry-2.crt", "entry-2.key", "authority.crt"} {
		if err := os.Chtimes(filepath.Join(folder, name), later, later); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		one.Send("entry-2", two.Address(), []byte("after"))
		select {
		case got := <-in:
			if got != "entry-1:after" {
				t.Fatalf("received %q", got)
			}
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
	t.Fatal("the new keys were not taken up")
}

// BenchmarkOpenLink measures a message over a connection that is open.
func BenchmarkOpenLink(b *testing.B) {
	a, folder := authority(b), b.TempDir()
	one, _ := listen(b, issue(b, a, folder, "entry-1"))
	two, in := listen(b, issue(b, a, folder, "entry-2"))
	body := make([]byte, 200)
	b.ResetTimer()
	for range b.N {
		one.Send("entry-2", two.Address(), body)
		<-in
	}
}

// BenchmarkNewLink measures the first message to a VM: a handshake with
// certificates on both sides, both ends in this process.
func BenchmarkNewLink(b *testing.B) {
	a, folder := authority(b), b.TempDir()
	keys := issue(b, a, folder, "entry-1")
	two, in := listen(b, issue(b, a, folder, "entry-2"))
	body := make([]byte, 200)
	b.ResetTimer()
	for range b.N {
		one, err := peer.Listen("127.0.0.1:0", keys, make(inbox, 1))
		if err != nil {
			b.Fatal(err)
		}
		one.Send("entry-2", two.Address(), body)
		<-in
		if err := one.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
