// Package claim writes claims of request keys to the platform. The claims of a key range
// are stored in one object, its book. Those that arrive during an update of the book are
// written together by the next update. Updates are conditional on the version of the
// book.
package claim

import (
	"context"
	"errors"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/task"
)

const (
	queueLength = 1024
	maxBatch    = 256
	maxAttempts = 5
)

// A Config holds the dependencies of a Claimer.
type Config struct {
	Store       platform.Store
	Deployment  platform.Deployment
	VM          ident.VMID
	Incarnation ident.Incarnation
	Clock       clock.Clock
}

// A request is a claim that waits for its result.
type request struct {
	ctx    context.Context
	entry  booking.Entry
	result chan booking.ClaimResult
}

// A Claimer claims request keys for one VM incarnation.
type Claimer struct {
	config Config
	ranges [booking.RangeCount]chan request
	group  *task.Group
	stop   context.CancelFunc
}

// Start starts a Claimer with one goroutine per key range.
func Start(ctx context.Context, config Config) *Claimer {
	ctx, stop := context.WithCancel(ctx)
	c := &Claimer{config: config, group: task.NewGroup(booking.RangeCount), stop: stop}
	for i := range c.ranges {
		c.ranges[i] = make(chan request, queueLength)
		w := &writer{claimer: c, objectName: config.Deployment.Object(codec.ClaimObject(booking.KeyRange(i)))}
		c.group.Go(ctx, func(ctx context.Context) { w.run(ctx, c.ranges[i]) })
	}
	return c
}

// Close stops the Claimer and waits for its goroutines.
func (c *Claimer) Close() error {
	c.stop()
	c.group.Wait()
	return nil
}

// Claim claims a key. It returns Unavailable if the key is invalid, if too many claims
// of its range wait, or if the context ends first.
func (c *Claimer) Claim(ctx context.Context, key ident.RequestKey) booking.ClaimResult {
	issuedAt, ok := booking.IssuedAt(key)
	if !ok {
		return booking.Unavailable
	}
	r := request{ctx: ctx, result: make(chan booking.ClaimResult, 1), entry: booking.Entry{
		Key: key, VM: c.config.VM, Incarnation: c.config.Incarnation, IssuedAt: issuedAt,
	}}
	select {
	case c.ranges[booking.RangeOf(key)] <- r:
	default:
		return booking.Unavailable
	}
	select {
	case result := <-r.result:
		return result
	case <-ctx.Done():
		return booking.Unavailable
	}
}

// A writer updates the book of one key range.
type writer struct {
	claimer    *Claimer
	objectName string
	// highest is the highest store version read or written. If a read returns a lower
	// one, the store lost claims, and no claim of the range is won.
	highest platform.StoreVersion
	// book is the content of the object at version.
	book    []booking.Entry
	version platform.StoreVersion
	// loaded is false if the book must be read before the next update.
	loaded bool
}

func (w *writer) run(ctx context.Context, requests <-chan request) {
	for {
		select {
		case r := <-requests:
			w.claim(ctx, collectBatch(r, requests))
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns first and the requests that are already queued, up to maxBatch in
// total.
func collectBatch(first request, requests <-chan request) []request {
	batch := []request{first}
	for len(batch) < maxBatch {
		select {
		case r := <-requests:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// claim writes a batch of claims and sends each request its result.
func (w *writer) claim(ctx context.Context, batch []request) {
	ctx, cancel := context.WithTimeout(ctx, booking.ClaimTimeout)
	defer cancel()
	var waiting []request
	var entries []booking.Entry
	for _, r := range batch {
		if r.ctx.Err() == nil {
			waiting = append(waiting, r)
			entries = append(entries, r.entry)
		}
	}
	results := w.write(ctx, entries)
	for i, r := range waiting {
		if results == nil {
			r.result <- booking.Unavailable
			continue
		}
		r.result <- results[i]
	}
}

// write adds the entries to the book by a conditional update. It returns nil if the
// outcome is unknown.
func (w *writer) write(ctx context.Context, entries []booking.Entry) []booking.ClaimResult {
	var backoff platform.Backoff
	for attempt := 0; attempt < maxAttempts && len(entries) > 0; attempt++ {
		if !w.loaded && !w.refresh(ctx) {
			if !clock.Sleep(ctx, backoff.Next(0)) {
				return nil
			}
			continue
		}
		now := w.claimer.config.Clock.Now()
		next, results := booking.Merge(now, w.book, entries)
		if !hasNewClaim(w.book, entries, results) {
			return results
		}
		value, err := codec.MarshalClaims(next)
		if err != nil {
			return nil
		}
		version, err := w.claimer.config.Store.Put(ctx, w.objectName, value, w.version)
		if err == nil {
			w.book, w.version, w.highest = next, version, version
			return results
		}
		// The stored book may differ from the local one: read it again.
		w.loaded = false
		var e *platform.Error
		if !errors.As(err, &e) || e.Kind != platform.Conflict {
			if !clock.Sleep(ctx, backoff.Next(0)) {
				return nil
			}
		}
	}
	return nil
}

// refresh reads the book. It returns false if the read failed or returned a lower
// version than highest.
func (w *writer) refresh(ctx context.Context) bool {
	o, err := w.claimer.config.Store.Get(ctx, w.objectName)
	if err != nil || o.Version < w.highest {
		return false
	}
	book, err := codec.UnmarshalClaims(o.Value)
	if err != nil {
		return false
	}
	w.book, w.version, w.highest, w.loaded = book, o.Version, o.Version, true
	return true
}

// hasNewClaim reports whether a claim that was won is not in the book yet.
func hasNewClaim(book, entries []booking.Entry, results []booking.ClaimResult) bool {
	recorded := make(map[ident.RequestKey]bool, len(book))
	for _, e := range book {
		recorded[e.Key] = true
	}
	for i, e := range entries {
		if results[i] == booking.Won && !recorded[e.Key] {
			return true
		}
	}
	return false
}
