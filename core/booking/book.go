package booking

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

// RangeCount is the number of key ranges, each one object of the platform's store.
const RangeCount = 64

// A KeyRange numbers a range of request keys, 0 to Ranges-1.
type KeyRange uint8

// RangeOf returns the range that key belongs to.
func RangeOf(key ident.RequestKey) KeyRange {
	return KeyRange(xxhash.Sum64String(string(key)) % RangeCount)
}

// An Entry is one claim in a range's book.
type Entry struct {
	Key         ident.RequestKey
	VM          ident.VMID
	Incarnation ident.Incarnation
	IssuedAt    ident.Instant
}

// MostEntries bounds a book, so that its object stays below the store's limit
// of one megabyte a value.
const MostEntries = 8_000

// Merge adds the wanted claims to a book and returns the new book with one
// result a claim. A key that is in the book keeps its claimant. Entries past
// their retention are dropped; sends of such keys are refused before they
// claim. Claims that do not fit are Unavailable.
func Merge(now ident.Instant, book, wanted []Entry) ([]Entry, []ClaimResult) {
	next := make([]Entry, 0, len(book)+len(wanted))
	held := make(map[ident.RequestKey]Entry, len(book)+len(wanted))
	for _, e := range book {
		if now.Sub(e.IssuedAt) <= Retention+2*clockMargin {
			next = append(next, e)
			held[e.Key] = e
		}
	}
	results := make([]ClaimResult, len(wanted))
	for i, e := range wanted {
		h, ok := held[e.Key]
		switch {
		case ok && h.VM == e.VM && h.Incarnation == e.Incarnation:
			results[i] = Won
		case ok:
			results[i] = Taken
		case len(next) >= MostEntries || now.Sub(e.IssuedAt) > Retention:
			results[i] = Unavailable
		default:
			next = append(next, e)
			held[e.Key] = e
			results[i] = Won
		}
	}
	return next, results
}

// ClaimTimeout bounds the time that a request waits for its claim.
const ClaimTimeout = 2 * time.Second
