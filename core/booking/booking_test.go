package booking_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

const start = ident.Instant(time.Hour)

// callerKey returns a key chosen by a caller and issued at start.
func callerKey(i int) ident.RequestKey {
	return ident.RequestKey(fmt.Sprintf("%d-order-%d", int64(start)/int64(time.Millisecond), i))
}

// TestOneClaimantPerKey checks that at most one VM wins the claim of a key, in any
// order of claims, as long as Begin accepts sends of that key.
func TestOneClaimantPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var book []booking.Entry
		holder := map[ident.RequestKey]ident.VMID{}
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "claims") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "s")) * time.Second)
			var claims []booking.Entry
			for range rapid.IntRange(1, 3).Draw(t, "batch") {
				key := callerKey(rapid.IntRange(0, 4).Draw(t, "key"))
				ledger := booking.NewLedger("any", 1)
				if verdict, _ := ledger.Begin(now, key); verdict != booking.Claim {
					continue
				}
				vm := ident.VMID(fmt.Sprint("entry-", rapid.IntRange(0, 3).Draw(t, "VM")))
				claims = append(claims, booking.Entry{Key: key, VM: vm, Incarnation: 1, IssuedAt: start})
			}
			var results []booking.ClaimResult
			book, results = booking.Merge(now, book, claims)
			for i, e := range claims {
				if results[i] != booking.Won {
					continue
				}
				if h, ok := holder[e.Key]; ok && h != e.VM {
					t.Fatalf("%s won the claim of %s, which %s already owns", e.VM, e.Key, h)
				}
				holder[e.Key] = e.VM
			}
		}
	})
}

func TestTicketOfAnotherIncarnationIsUnknown(t *testing.T) {
	first := booking.NewLedger("entry-0", 1)
	key, ok := first.Issue(start)
	if !ok {
		t.Fatal("an empty ledger issued no ticket")
	}
	second := booking.NewLedger("entry-0", 2)
	if verdict, _ := second.Begin(start, key); verdict != booking.Unknown {
		t.Fatalf("verdict after a restart is %d, expected Unknown", verdict)
	}
	other := booking.NewLedger("entry-1", 1)
	if verdict, vm := other.Begin(start, key); verdict != booking.Forward || vm != "entry-0" {
		t.Fatalf("verdict on another VM is %d to %q, expected Forward to entry-0", verdict, vm)
	}
	if verdict, _ := first.Begin(start.Add(booking.Retention+time.Hour), key); verdict == booking.Dispatch {
		t.Fatal("a ticket was dispatched after its retention")
	}
}

func TestOldKeyIsUnknown(t *testing.T) {
	l := booking.NewLedger("entry-0", 1)
	if verdict, _ := l.Begin(start.Add(booking.Retention), callerKey(1)); verdict != booking.Unknown {
		t.Fatalf("verdict of an expired key is %d, expected Unknown", verdict)
	}
	if verdict, _ := l.Begin(start.Add(-time.Hour), callerKey(1)); verdict != booking.Invalid {
		t.Fatalf("verdict of a key from the future is %d, expected Invalid", verdict)
	}
}

// FuzzTicket checks that parsing never panics and that the key of a parsed ticket
// equals the parsed text.
func FuzzTicket(f *testing.F) {
	f.Add("ticket.entry-0.17.3")
	f.Add("ticket.entry-0.017.3")
	f.Add("ticket...")
	f.Add("1764841744000-order")
	f.Fuzz(func(t *testing.T, text string) {
		key := ident.RequestKey(text)
		if ticket, ok := booking.ParseTicket(key); ok && ticket.Key() != key {
			t.Fatalf("ticket %q has the key %q", text, ticket.Key())
		}
		if _, ok := booking.IssuedAt(key); ok && strings.HasPrefix(text, "ticket.") {
			t.Fatalf("%q is accepted as a ticket and as a key chosen by a caller", text)
		}
	})
}
