package peer_test

import (
	"context"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/serve/peer"
)

// newPinned returns the identity of a VM that lists the digests of others.
func newPinned(t *testing.T, vm ident.VMID, listed map[ident.VMID]string, unlisted peer.Unlisted) *peer.Pinned {
	t.Helper()
	p, err := peer.NewPinned(vm, func(other ident.VMID) (string, bool) {
		digest, ok := listed[other]
		return digest, ok
	}, unlisted)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func listenPinned(t *testing.T, p *peer.Pinned) *peer.Transport {
	t.Helper()
	transport, err := peer.Listen("127.0.0.1:0", p, make(inbox, 16))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

// TestRestartedVMIsReadByOneWithAnOldList guards against a VM that the store refuses and that
// can't read through the only one that it serves, because that one has restarted: its new
// certificate is in a list of VMs that only the store has.
func TestRestartedVMIsReadByOneWithAnOldList(t *testing.T) {
	for _, tc := range []struct {
		name            string
		accepts, listed bool
		dialled         ident.VMID
		want            bool
	}{
		{"accepted by its address", true, true, "entry-2", true},
		{"not accepted", false, true, "entry-2", false},
		{"a VM that was never listed", true, false, "entry-2", false},
		{"another VM at the address", true, true, "entry-3", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			refused, served := map[ident.VMID]string{}, map[ident.VMID]string{}
			if tc.listed {
				refused["entry-2"], refused["entry-3"] = "of the previous process", "of the previous process"
			}
			asked := 0
			asker := newPinned(t, "entry-1", refused, func(ident.VMID, bool) bool { asked++; return tc.accepts })
			restarted := newPinned(t, "entry-2", served, nil)
			served["entry-1"] = asker.Digest()
			from, to := listenPinned(t, asker), listenPinned(t, restarted)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			response, err := from.Call(ctx, tc.dialled, to.Address(), []byte("ask"))
			if got := err == nil && string(response) == "entry-1:ask"; got != tc.want {
				t.Fatalf("answered: %v, %v; expected: %v", got, err, tc.want)
			}
			if tc.want && asked == 0 {
				t.Error("the unlisted certificate was not reported")
			}
		})
	}
}

// TestUnlistedCallersAreRefused checks that a caller whose certificate is not the listed one
// is refused, whatever is accepted of VMs that are dialled.
func TestUnlistedCallersAreRefused(t *testing.T) {
	listed := map[ident.VMID]string{"entry-2": "of the previous process"}
	reported := make(chan ident.VMID, 16)
	served := newPinned(t, "entry-1", listed, func(vm ident.VMID, _ bool) bool { reported <- vm; return true })
	caller := newPinned(t, "entry-2", map[ident.VMID]string{"entry-1": served.Digest()}, nil)
	from, to := listenPinned(t, caller), listenPinned(t, served)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if response, err := from.Call(ctx, "entry-1", to.Address(), []byte("ask")); err == nil {
		t.Fatalf("answered %q", response)
	}
	if vm := <-reported; vm != "entry-2" {
		t.Errorf("reported %s", vm)
	}
}
