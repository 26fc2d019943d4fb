// Package mirror lets VMs read the platform's store through one VM of their region,
// so that the number of calls to the store grows with the regions and not with the
// VMs. A mirror keeps no more than it read, says so when
// it is out of touch with the store, and any VM may be one.
package mirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/task"
)

// keptBatches is the number of batches of changes that a mirror keeps; a reader
// further behind reads all objects again.
const keptBatches = 256

// An Outcome is how a question to a mirror ended.
type Outcome string

// The outcomes of a question.
const (
	OK Outcome = "ok"
	// Disconnected means that the mirror does not hear from the store.
	Disconnected Outcome = "out-of-touch"
	// Compacted means that the mirror lacks the history asked for.
	Compacted Outcome = "compacted"
)

type batch[T any] struct {
	version platform.StoreVersion
	changes []platform.Change[T]
}

// A Book is what one VM has read of one kind of object. Its methods may be called
// from several goroutines. The zero value has read nothing.
type Book[T any] struct {
	mu sync.Mutex
	// Objects holds the newest value of each object, at version.
	objects map[string]T
	version platform.StoreVersion
	// Batches are the changes after base, in order.
	batches []batch[T]
	base    platform.StoreVersion
	inTouch bool
	// LostAt is when inTouch became false.
	lostAt time.Time
	// Moved moves when any of the above changes.
	moved task.Signal
}

// Listed takes a whole listing.
func (b *Book[T]) Listed(l platform.Listing[T]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Version < b.version {
		return
	}
	b.objects = make(map[string]T, len(l.Items))
	for _, i := range l.Items {
		b.objects[i.Name] = i.Value
	}
	b.version, b.base, b.batches, b.inTouch = l.Version, l.Version, nil, true
	b.moved.Broadcast()
}

// Changed takes the changes up to a version.
func (b *Book[T]) Changed(changes []platform.Change[T], version platform.StoreVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasInTouch := b.inTouch
	b.inTouch = true
	b.take(changes, version)
	if !wasInTouch || len(changes) > 0 {
		b.moved.Broadcast()
	}
}

// take notes changes up to a version. The lock must be held.
func (b *Book[T]) take(changes []platform.Change[T], version platform.StoreVersion) {
	if version <= b.version {
		return
	}
	b.version = version
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Deleted {
			delete(b.objects, c.Name)
		} else {
			b.objects[c.Name] = c.Value
		}
	}
	b.batches = append(b.batches, batch[T]{version, changes})
	if extra := len(b.batches) - keptBatches; extra > 0 {
		b.base = b.batches[extra-1].version
		b.batches = slices.Delete(b.batches, 0, extra)
	}
}

// Told takes changes up to a version that another VM told while this one is out of
// touch. They do not make it a mirror: two VMs that tell each other know nothing.
func (b *Book[T]) Told(changes []platform.Change[T], version platform.StoreVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(changes, version)
}

// Failed notes that the store cannot be read.
func (b *Book[T]) Failed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inTouch {
		b.inTouch, b.lostAt = false, time.Now()
		b.moved.Broadcast()
	}
}

// An Answer is what a mirror tells.
type Answer[T any] struct {
	Outcome Outcome
	Version platform.StoreVersion
	Changes []platform.Change[T]
}

// List returns all objects. A book that has read nothing yet waits for its first
// listing: VMs that start together ask before the mirror has read the store.
func (b *Book[T]) List(ctx context.Context, wait time.Duration) Answer[T] {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, moved := b.all()
		if moved == nil {
			return a
		}
		select {
		case <-moved:
		case <-timer.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// all returns all objects, or what to wait for while nothing was read yet.
func (b *Book[T]) all() (Answer[T], <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.inTouch {
		if b.version > 0 {
			return Answer[T]{Outcome: Disconnected}, nil
		}
		return Answer[T]{Outcome: Disconnected}, b.moved.Next()
	}
	a := Answer[T]{Outcome: OK, Version: b.version}
	for name, v := range b.objects {
		a.Changes = append(a.Changes, platform.Change[T]{Name: name, Value: v})
	}
	return a, nil
}

// Changes returns the changes after a version as soon as there is one, or none
// when the wait ends first.
func (b *Book[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) Answer[T] {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, moved, lostFor := b.since(after)
		if a.Outcome == Compacted || len(a.Changes) > 0 {
			return a
		}
		var lost <-chan time.Time
		if a.Outcome == Disconnected {
			if lostFor >= outOfTouchFor {
				return a
			}
			lost = time.After(outOfTouchFor - lostFor)
		}
		select {
		case <-moved:
		case <-lost:
		case <-timer.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// since returns the changes after a version, what to wait for when there are none,
// and for how long the book has been out of touch.
func (b *Book[T]) since(after platform.StoreVersion) (Answer[T], <-chan struct{}, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := Answer[T]{Outcome: OK, Version: max(after, b.version)}
	switch {
	case !b.inTouch:
		a.Outcome = Disconnected
	case after < b.base:
		a.Outcome = Compacted
	default:
		for _, one := range b.batches {
			if one.version > after {
				a.Changes = append(a.Changes, one.changes...)
			}
		}
	}
	return a, b.moved.Next(), time.Since(b.lostAt)
}
