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

func own(i int) ident.RequestKey {
	return ident.RequestKey(fmt.Sprintf("%d-order-%d", int64(start)/int64(time.Millisecond), i))
}

// TestOneClaimant: whatever VMs claim in whatever order, a key has one claimant
// while any send of it is let through.
func TestOneClaimant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var book []booking.Entry
		holder := map[ident.RequestKey]ident.VMID{}
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "claims") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "s")) * time.Second)
			var wanted []booking.Entry
			for range rapid.IntRange(1, 3).Draw(t, "batch") {
				key := own(rapid.IntRange(0, 4).Draw(t, "key"))
				ledger := booking.NewLedger("any", 1)
				if verdict, _ := ledger.Begin(now, key); verdict != booking.Claim {
					continue
				}
				vm := ident.VMID(fmt.Sprint("entry-", rapid.IntRange(0, 3).Draw(t, "VM")))
				wanted = append(wanted, booking.Entry{Key: key, VM: vm, Incarnation: 1, IssuedAt: start})
			}
			var results []booking.ClaimResult
			book, results = booking.Merge(now, book, wanted)
			for i, e := range wanted {
				if results[i] != booking.Won {
					continue
				}
				if h, ok := holder[e.Key]; ok && h != e.VM {
					t.Fatalf("%s won %s, which %s holds", e.VM, e.Key, h)
				}
				holder[e.Key] = e.VM
			}
		}
	})
}

func TestTicketOfAnotherLifeIsUnknown(t *testing.T) {
	first := booking.NewLedger("entry-0", 1)
	key, ok := first.Issue(start)
	if !ok {
		t.Fatal("no ticket")
	}
	second := booking.NewLedger("entry-0", 2)
	if verdict, _ := second.Begin(start, key); verdict != booking.Unknown {
		t.Fatalf("the verdict after a restart is %d", verdict)
	}
	other := booking.NewLedger("entry-1", 1)
	if verdict, vm := other.Begin(start, key); verdict != booking.Forward || vm != "entry-0" {
		t.Fatalf("the verdict elsewhere is %d to %s", verdict, vm)
	}
	if verdict, _ := first.Begin(start.Add(booking.Retention+time.Hour), key); verdict == booking.Dispatch {
		t.Fatal("a ticket was dispatched after its retention")
	}
}

func TestOldKeyIsUnknown(t *testing.T) {
	l := booking.NewLedger("entry-0", 1)
	if verdict, _ := l.Begin(start.Add(booking.Retention), own(1)); verdict != booking.Unknown {
		t.Fatalf("the verdict of an old key is %d", verdict)
	}
	if verdict, _ := l.Begin(start.Add(-time.Hour), own(1)); verdict != booking.Invalid {
		t.Fatalf("the verdict of a key from the future is %d", verdict)
	}
}

// FuzzTicket: parsing never panics, and a parsed ticket gives its key back.
func FuzzTicket(f *testing.F) {
	f.Add("ticket.entry-0.17.3")
	f.Add("ticket.entry-0.017.3")
	f.Add("ticket...")
	f.Add("1764841744000-order")
	f.Fuzz(func(t *testing.T, text string) {
		key := ident.RequestKey(text)
		if ticket, ok := booking.ParseTicket(key); ok && ticket.Key() != key {
			t.Fatalf("%q became %q", text, ticket.Key())
		}
		if _, ok := booking.IssuedAt(key); ok && strings.HasPrefix(text, "ticket.") {
			t.Fatalf("%q is both a ticket and a caller's key", text)
		}
	})
}
