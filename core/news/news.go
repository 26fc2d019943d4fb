// Package news holds short-lived evidence that VMs tell each other: upstreams
// that leave, turn cold or are lost, and requests that crash upstreams.
package news

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// A Kind is a kind of news.
type Kind string

// The kinds of news.
const (
	Leaving Kind = "leaving"
	Cold    Kind = "cold"
	Lost    Kind = "lost"
	Crash   Kind = "crash"
)

// Lifetime returns how long news of a kind is believed.
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

// A Key identifies a piece of news; each origin keeps its own.
type Key struct {
	Kind    Kind
	Subject string
	Origin  ident.VMID
}

// An Item is one piece of news.
type Item struct {
	Key
	// Sequence orders the news of one key.
	Sequence uint64
	// Expires is in the holder's own time.
	Expires ident.Instant
	// Count is the number of crashes of a Crash.
	Count int
}

// NewerThan reports whether the item is later than another of its subject; items of
// the same sequence are ordered by their origins.
func (i *Item) NewerThan(o *Item) bool {
	if i.Sequence != o.Sequence {
		return i.Sequence > o.Sequence
	}
	return i.Origin > o.Origin
}

const maxItems = 4096

// A Set holds the news that has not expired. The zero value is empty.
type Set struct {
	// Items has at most mostItems entries.
	items    map[Key]Item
	expiries container.Timers[Key]
}

// Add takes a piece of news and reports whether it was new. When the book is
// full, only news of a known key is taken.
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

// Expire drops what is no longer believed and reports whether anything was.
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

// Next returns when Expire is due next, or ident.Never.
func (s *Set) Next() ident.Instant { return s.expiries.Next() }

// All calls yield for each item, in no order.
func (s *Set) All(yield func(Item) bool) {
	for _, item := range s.items {
		if !yield(item) {
			return
		}
	}
}

// Get returns the item of a key.
func (s *Set) Get(key Key) (Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Len returns the number of items.
func (s *Set) Len() int { return len(s.items) }
