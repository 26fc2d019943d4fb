// Package news holds short-lived observations that VMs exchange by gossip:
// upstreams that shut down, are cold or were lost, and requests that crash
// upstreams.
package news

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// A Kind is the type of observation in an Item.
type Kind string

// The kinds of news.
const (
	Leaving Kind = "leaving"
	Cold    Kind = "cold"
	Lost    Kind = "lost"
	Crash   Kind = "crash"
)

// Lifetime returns how long an item of the kind stays valid.
func (k Kind) Lifetime() time.Duration {
	switch k {
	case Crash:
		return time.Minute
	case Leaving:
		return 30 * time.Second
	default:
		return 10 * time.Second
	}
}

// A Key identifies an item. Items about the same subject from different origins
// have different keys.
type Key struct {
	Kind Kind
	// Subject is the ID of a replica or VM, or the fingerprint of a request in
	// hexadecimal for a Crash.
	Subject string
	// Origin is the VM that made the observation.
	Origin ident.VMID
}

// An Item is one observation.
type Item struct {
	Key
	// Sequence orders the items of one key; the highest replaces the others.
	Sequence uint64
	// Expires is in the local time of the VM that holds the item.
	Expires ident.Instant
	// Count is the number of crashes; set for a Crash only.
	Count int
}

// NewerThan reports whether i is newer than o, an item about the same subject.
// Items of equal sequence are ordered by origin.
func (i *Item) NewerThan(o *Item) bool {
	if i.Sequence != o.Sequence {
		return i.Sequence > o.Sequence
	}
	return i.Origin > o.Origin
}

// maxItems limits the memory of a Set.
const maxItems = 4096

// A Set holds the items that have not expired. The zero value is empty.
type Set struct {
	// items has at most maxItems entries.
	items    map[Key]Item
	expiries container.Timers[Key]
}

// Add adds an item and reports whether it was accepted: it must not have expired
// and must have a higher sequence than the held item of its key. When the set is
// full, an item of a new key is rejected.
func (s *Set) Add(now ident.Instant, item Item) bool {
	known, ok := s.items[item.Key]
	if item.Expires <= now || (ok && item.Sequence <= known.Sequence) || (!ok && len(s.items) >= maxItems) {
		return false
	}
	if s.items == nil {
		s.items = map[Key]Item{}
	}
	s.items[item.Key] = item
	s.expiries.Add(item.Expires, item.Key)
	return true
}

// Expire removes expired items and reports whether there were any.
func (s *Set) Expire(now ident.Instant) bool {
	dropped := false
	for {
		key, ok := s.expiries.Pop(now)
		if !ok {
			return dropped
		}
		if item, held := s.items[key]; held && item.Expires <= now {
			delete(s.items, key)
			dropped = true
		}
	}
}

// Next returns the time of the next expiry, or ident.Never.
func (s *Set) Next() ident.Instant { return s.expiries.Next() }

// All calls yield for each item in unspecified order, until yield returns false.
func (s *Set) All(yield func(Item) bool) {
	for _, item := range s.items {
		if !yield(item) {
			return
		}
	}
}

// Get returns the item with the given key.
func (s *Set) Get(key Key) (Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Len returns the number of items.
func (s *Set) Len() int { return len(s.items) }
