// Package claim writes claims of request keys to the platform: one conditional
// update of a key range's book carries all claims that came while the last one
// was on its way.
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
	mostBatch   = 256
	mostTries   = 5
)

// A Config holds the parts that a Claimer is assembled from.
type Config struct {
	Store       platform.Store
	Deployment  platform.Deployment
	VM          ident.VMID
	Incarnation ident.Incarnation
	Clock       clock.Clock
}

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

// Start returns a running Claimer: one goroutine a key range.
func Start(ctx context.Context, config Config) *Claimer {
	ctx, stop := context.WithCancel(ctx)
	c := &Claimer{config: config, group: task.NewGroup(booking.RangeCount), stop: stop}
	for i := range c.ranges {
		c.ranges[i] = make(chan request, queueLength)
		w := &writer{claimer: c, name: config.Deployment.Object(codec.ClaimObject(booking.KeyRange(i)))}
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

// Claim claims a key. It returns Unavailable when the context ends first.
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

// A writer owns the book of one key range.
type writer struct {
	claimer *Claimer
	name    string
	// Newest is the highest store version seen; a lower one means that the
	// store lost claims, and no claim of the range is won any more.
	newest platform.StoreVersion
	// Book is the content of version held.
	book []booking.Entry
	held platform.StoreVersion
	read bool
}

func (w *writer) run(ctx context.Context, requests <-chan request) {
	for {
		select {
		case r := <-requests:
			w.claim(ctx, gather(r, requests))
		case <-ctx.Done():
			return
		}
	}
}

// gather takes the claims that wait.
func gather(first request, requests <-chan request) []request {
	batch := []request{first}
	for len(batch) < mostBatch {
		select {
		case r := <-requests:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// claim writes one batch and answers each of its requests.
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

// write merges the entries into the book by conditional updates; nil when the
// outcome is not known.
func (w *writer) write(ctx context.Context, entries []booking.Entry) []booking.ClaimResult {
	var backoff platform.Backoff
	for try := 0; try < mostTries && len(entries) > 0; try++ {
		if !w.read && !w.refresh(ctx) {
			if !clock.Sleep(ctx, backoff.Next(0)) {
				return nil
			}
			continue
		}
		now := w.claimer.config.Clock.Now()
		next, results := booking.Merge(now, w.book, entries)
		if !anyNew(w.book, entries, results) {
			return results
		}
		value, err := codec.MarshalClaims(next)
		if err != nil {
			return nil
		}
		version, err := w.claimer.config.Store.Put(ctx, w.name, value, w.held)
		if err == nil {
			w.book, w.held, w.newest = next, version, version
			return results
		}
		// The book on the store may differ from the one held: read it again.
		w.read = false
		var e *platform.Error
		if !errors.As(err, &e) || e.Kind != platform.Conflict {
			if !clock.Sleep(ctx, backoff.Next(0)) {
				return nil
			}
		}
	}
	return nil
}

// refresh reads the book; false when it could not be read or went backwards.
func (w *writer) refresh(ctx context.Context) bool {
	o, err := w.claimer.config.Store.Get(ctx, w.name)
	if err != nil || o.Version < w.newest {
		return false
	}
	book, err := codec.UnmarshalClaims(o.Value)
	if err != nil {
		return false
	}
	w.book, w.held, w.newest, w.read = book, o.Version, o.Version, true
	return true
}

// anyNew reports whether a won claim is not in the book yet.
func anyNew(book, entries []booking.Entry, results []booking.ClaimResult) bool {
	known := make(map[ident.RequestKey]bool, len(book))
	for _, e := range book {
		known[e.Key] = true
	}
	for i, e := range entries {
		if results[i] == booking.Won && !known[e.Key] {
			return true
		}
	}
	return false
}
