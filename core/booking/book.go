package booking

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

// RangeCount is the number of key ranges. The claims of a range are one object in
// the platform's store.
const RangeCount = 64

// A KeyRange numbers a range of request keys, from 0 to RangeCount-1.
type KeyRange uint8

// RangeOf returns the range that key belongs to.
func RangeOf(key ident.RequestKey) KeyRange {
	return KeyRange(xxhash.Sum64String(string(key)) % RangeCount)
}

// An Entry is one claim in the book of a key range.
type Entry struct {
	Key         ident.RequestKey
	VM          ident.VMID
	Incarnation ident.Incarnation
	IssuedAt    ident.Instant
}

// MaxEntries limits the entries of a book, so that its object stays below the
// store's limit of one megabyte per value.
const MaxEntries = 8_000

// Merge adds the claims to a book and returns the new book and one result
// per claim. A key that is already in the book keeps its claimant. Entries older
// than their retention are dropped, which is safe because sends of such keys are
// refused before they claim. The result is Unavailable for claims that exceed
// MaxEntries and for keys that are too old.
func Merge(now ident.Instant, book, claims []Entry) ([]Entry, []ClaimResult) {
	next := make([]Entry, 0, len(book)+len(claims))
	held := make(map[ident.RequestKey]Entry, len(book)+len(claims))
	for _, e := range book {
		if now.Sub(e.IssuedAt) <= Retention+2*clockMargin {
			next = append(next, e)
			held[e.Key] = e
		}
	}
	results := make([]ClaimResult, len(claims))
	for i, e := range claims {
		holder, ok := held[e.Key]
		switch {
		case ok && holder.VM == e.VM && holder.Incarnation == e.Incarnation:
			results[i] = Won
		case ok:
			results[i] = Taken
		case len(next) >= MaxEntries || now.Sub(e.IssuedAt) > Retention:
			results[i] = Unavailable
		default:
			next = append(next, e)
			held[e.Key] = e
			results[i] = Won
		}
	}
	return next, results
}

// ClaimTimeout limits how long a request waits for the result of its claim.
const ClaimTimeout = 2 * time.Second
