package codec_test

import (
	"reflect"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/mirror"
)

// FuzzPeerMessages decodes what another VM, perhaps of another version, sends.
func FuzzPeerMessages(f *testing.F) {
	now := ident.Instant(time.Hour)
	entry, err := codec.MarshalReplica(now, catalogue.Replica{ID: "r", Service: "s", Slots: 4, ColdUntil: now.Add(time.Second)})
	if err != nil {
		f.Fatal(err)
	}
	routes, err := codec.MarshalRoutes(catalogue.Configuration{Version: 3, Routes: []route.Route{{Name: "r", Timeout: time.Second}}})
	if err != nil {
		f.Fatal(err)
	}
	answer, err := mirror.MarshalAnswer(mirror.Answer[[]byte]{Outcome: mirror.OK, Version: 7})
	if err != nil {
		f.Fatal(err)
	}
	for _, b := range [][]byte{entry, routes, answer, entry[:len(entry)/2]} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := codec.UnmarshalReplica(now, b); err == nil && r.ColdUntil != 0 && r.ColdUntil < now {
			t.Fatalf("cold until %v before now", r.ColdUntil)
		}
		if c, err := codec.UnmarshalRoutes(b); err == nil {
			for _, r := range c.Routes {
				if r.Timeout < 0 || r.Goal < 0 {
					t.Fatalf("a route with the timeout %v and the goal %v", r.Timeout, r.Goal)
				}
			}
		}
		_, _ = codec.UnmarshalConfiguration(b)
		_, _ = mirror.UnmarshalAnswer(b)
	})
}

func TestMessagesAboutUsageCapsAreDecodedAsTheyWere(t *testing.T) {
	m := usage.Message{
		Incarnation: 1 << 60, Restarted: true, NoGrantor: true, Collects: []ident.TenantID{"courts"},
		Asks:    []usage.Ask{{Tenant: "courts", Need: 2, Spare: 3, Held: 1.5}},
		Returns: []usage.Return{{Tenant: "courts", Number: 1 << 61, Tokens: 2.5}},
		Grants:  []usage.Grant{{Tenant: "courts", Tokens: 4, Wait: 30 * time.Millisecond, Collecting: true}},
		Loans:   []usage.Loan{{Tenant: "courts", Number: 1 << 62, Rate: 5, Capacity: 20, Held: 1.25, Tokens: 6.5, Lease: time.Second}},
	}
	if got := codec.Usage(codec.UsageMessage(&m)); !reflect.DeepEqual(got, m) {
		t.Errorf("decoded is %+v, expected %+v", got, m)
	}
}
