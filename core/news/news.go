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

// After reports whether the item is later than another of its subject; items of
// the same sequence are ordered by their origins.
func (i *Item) After(o *Item) bool {
	if i.Sequence != o.Sequence {
		return i.Sequence > o.Sequence
	}
	return i.Origin > o.Origin
}

const mostItems = 4096

// A Book holds the news that has not expired. The zero value is empty.
type Book struct {
	// Items has at most mostItems entries.
	items    map[Key]Item
	expiries container.Timers[Key]
}

// Add takes a piece of news and reports whether it was new. When the book is
// full, only news of a known key is taken.
func (b *Book) Add(now ident.Instant, item Item) bool {
	known, ok := b.items[item.Key]
	if item.Expires <= now || (ok && item.Sequence <= known.Sequence) || (!ok && len(b.items) >= mostItems) {
		return false
	}
	if b.items == nil {
		b.items = map[Key]Item{}
	}
	b.items[item.Key] = item
	b.expiries.Add(item.Expires, item.Key)
	return true
}

// Expire drops what is no longer believed and reports whether anything was.
func (b *Book) Expire(now ident.Instant) bool {
	dropped := false
	for {
		key, ok := b.expiries.Pop(now)
		if !ok {
			return dropped
		}
		if item, held := b.items[key]; held && item.Expires <= now {
			delete(b.items, key)
			dropped = true
		}
	}
}

// Next returns when Expire is due next, or ident.Never.
func (b *Book) Next() ident.Instant { return b.expiries.Next() }

// All calls yield for each item, in no order.
func (b *Book) All(yield func(Item) bool) {
	for _, item := range b.items {
		if !yield(item) {
			return
		}
	}
}

// Get returns the item of a key.
func (b *Book) Get(key Key) (Item, bool) {
	item, ok := b.items[key]
	return item, ok
}

// Len returns the number of items.
func (b *Book) Len() int { return len(b.items) }
