// Package mirror lets VMs read the platform's store through other VMs, so that the
// number of calls to the store grows with the number of regions and not with the number
// of VMs. In each region one VM reads the store and the others read from each other in a
// tree. Any VM can be a mirror. A mirror serves only the objects and changes that it
// read, and reports when it is disconnected from the store.
package mirror

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/task"
)

// maxBatches limits the batches of changes that a Cache keeps. A reader that is further
// behind lists all objects again.
const maxBatches = 256

// An Outcome is the result of a question to a mirror.
type Outcome string

// The outcomes of a question.
const (
	OK Outcome = "ok"
	// Disconnected means that the mirror's last read failed, so that its objects may be
	// out of date.
	Disconnected Outcome = "out-of-touch"
	// Compacted means that the mirror no longer holds the changes asked for.
	Compacted Outcome = "compacted"
)

// A batch holds the changes that one read returned, and the version that they lead to.
type batch[T any] struct {
	version platform.StoreVersion
	changes []platform.Change[T]
}

// A Cache holds the objects of one kind that a VM read, and their latest changes. Its
// methods may be called from several goroutines. The zero value is empty.
type Cache[T any] struct {
	mu sync.Mutex
	// objects holds the newest value of each object, as of version.
	objects map[string]T
	version platform.StoreVersion
	// batches holds the changes after base in ascending order of version.
	batches []batch[T]
	base    platform.StoreVersion
	// connected reports whether the last read succeeded, from the store or a mirror.
	connected bool
	// relayed reports whether the last read succeeded, but only from a VM that is no
	// mirror of this one. The cache is then not connected.
	relayed bool
	// path holds the VMs through which the last successful read came, nearest first;
	// none if it came from the store.
	path []ident.VMID
	// confirmedAt is the latest time at which the store is known to have had no other
	// objects; zero if nothing was read yet. It never decreases.
	confirmedAt time.Time
	// disconnectedAt is when connected became false.
	disconnectedAt time.Time
	// updated signals a change of the objects or of connected.
	updated task.Signal
	// now replaces time.Now unless nil.
	now func() time.Time
}

func (c *Cache[T]) time() time.Time {
	if c.now == nil {
		return time.Now()
	}
	return c.now()
}

// Version returns the version of the objects, or 0 if nothing was read yet.
func (c *Cache[T]) Version() platform.StoreVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// state describes the cache, except for the values of its objects.
func (c *Cache[T]) state(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	inGrace := !c.connected && now.Sub(c.disconnectedAt) < disconnectGrace
	return fmt.Sprint(c.version, c.base, len(c.batches), c.connected, c.relayed, c.path, inGrace)
}

// SetListing replaces all objects by a listing, unless the cache holds a newer version. The
// kept changes stay: the listing counts as changes of all its objects and deletions of the
// others, so that the VMs that read through this one need not list in turn.
func (c *Cache[T]) SetListing(l platform.Listing[T], origin Origin) {
	c.setListing(l, true, origin)
}

// SetListingWhileDisconnected is SetListing for a listing from a VM that is no mirror.
func (c *Cache[T]) SetListingWhileDisconnected(l platform.Listing[T], origin Origin) {
	c.setListing(l, false, origin)
}

func (c *Cache[T]) setListing(l platform.Listing[T], connected bool, origin Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Version < c.version {
		return
	}
	old := c.objects
	c.objects = make(map[string]T, len(l.Items))
	for _, i := range l.Items {
		c.objects[i.Name] = i.Value
	}
	if c.version == 0 {
		c.base = l.Version
	} else if l.Version > c.version {
		c.addBatch(batch[T]{l.Version, c.listedChanges(old)})
	}
	c.version = l.Version
	c.connected, c.relayed, c.path = connected, !connected, origin.Path
	c.confirm(origin.ConfirmedAt)
	c.updated.Broadcast()
}

// Apply applies the changes up to a version and marks the cache as connected.
func (c *Cache[T]) Apply(changes []platform.Change[T], version platform.StoreVersion, origin Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasConnected := c.connected
	c.connected, c.relayed, c.path = true, false, origin.Path
	c.apply(changes, version)
	if c.confirm(origin.ConfirmedAt) || !wasConnected || len(changes) > 0 {
		c.updated.Broadcast()
	}
}

// apply applies the changes up to a version, unless the cache already holds that
// version. The lock must be held.
func (c *Cache[T]) apply(changes []platform.Change[T], version platform.StoreVersion) {
	if version <= c.version {
		return
	}
	c.version = version
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		if change.Deleted {
			delete(c.objects, change.Name)
		} else {
			c.objects[change.Name] = change.Value
		}
	}
	c.addBatch(batch[T]{version, changes})
}

// addBatch adds a batch to the kept ones. The lock must be held.
func (c *Cache[T]) addBatch(b batch[T]) {
	c.batches = append(c.batches, b)
	if extra := len(c.batches) - maxBatches; extra > 0 {
		c.base = c.batches[extra-1].version
		c.batches = slices.Delete(c.batches, 0, extra)
	}
}

// listedChanges returns the changes from the old objects to those of a listing, whose
// objects all count as changed. The lock must be held.
func (c *Cache[T]) listedChanges(old map[string]T) []platform.Change[T] {
	changes := make([]platform.Change[T], 0, len(c.objects))
	for name, v := range c.objects {
		changes = append(changes, platform.Change[T]{Name: name, Value: v})
	}
	for name := range old {
		if _, ok := c.objects[name]; !ok {
			changes = append(changes, platform.Change[T]{Name: name, Deleted: true})
		}
	}
	return changes
}

// ApplyWhileDisconnected applies changes that this VM read from one that is not its
// mirror. The cache stays disconnected for the VMs whose mirror this one is, so that the
// tree of mirrors heals; other disconnected VMs may read from it.
func (c *Cache[T]) ApplyWhileDisconnected(changes []platform.Change[T], version platform.StoreVersion, origin Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := !c.relayed || len(changes) > 0
	c.relayed, c.path = true, origin.Path
	c.apply(changes, version)
	if c.confirm(origin.ConfirmedAt) || changed {
		c.updated.Broadcast()
	}
}

// MarkDisconnected records that neither a mirror nor the store could be read.
func (c *Cache[T]) MarkDisconnected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected {
		c.connected, c.disconnectedAt = false, c.time()
		c.updated.Broadcast()
	}
}

// MarkUnreachable records that no other VM could be read from either.
func (c *Cache[T]) MarkUnreachable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayed {
		c.relayed = false
		c.updated.Broadcast()
	}
}

// fromStore reports whether the last successful read came from the store.
func (c *Cache[T]) fromStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version > 0 && len(c.path) == 0
}

// readsStore reports whether the store itself serves this VM: the last read succeeded and
// came from it.
func (c *Cache[T]) readsStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected && c.version > 0 && len(c.path) == 0
}

// isConnected reports whether the last read succeeded, from the store or a mirror.
func (c *Cache[T]) isConnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected
}

// isRelayed reports whether this VM reads through one that is not its mirror.
func (c *Cache[T]) isRelayed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed
}

// outdated reports whether the last read failed, and no VM with a path to the store
// answered instead.
func (c *Cache[T]) outdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.connected && !c.relayed
}

// relay answers a question of a disconnected VM: with all objects if after is 0, and
// otherwise with the changes after that version as soon as there are any or the store has
// confirmed that there are none, or with none after wait. A cache without a path waits for
// one meanwhile.
func (c *Cache[T]) relay(ctx context.Context, after platform.StoreVersion, wait time.Duration) Answer[T] {
	arrived := c.time()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, updated := c.relayNow(after, arrived)
		if a.Outcome == Compacted || after == 0 || len(a.Changes) > 0 || a.Confirmed > 0 || wait <= 0 {
			return a
		}
		select {
		case <-updated:
		case <-timer.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// relayNow is relay without a wait. It also returns a channel that is closed at the next
// update.
func (c *Cache[T]) relayNow(after platform.StoreVersion, arrived time.Time) (Answer[T], <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := c.updated.Next()
	switch {
	case !c.connected && !c.relayed:
		return Answer[T]{Outcome: Disconnected}, updated
	case after == 0:
		return c.allObjects(arrived), updated
	case after < c.base:
		return Answer[T]{Outcome: Compacted}, updated
	}
	return Answer[T]{
		Outcome: OK, Version: max(after, c.version), Changes: c.changesAfter(after), Path: c.path,
		Confirmed: c.confirmedAt.Sub(arrived),
	}, updated
}

// allObjects returns an answer with all objects to a question that arrived at a time. The
// lock must be held.
func (c *Cache[T]) allObjects(arrived time.Time) Answer[T] {
	a := Answer[T]{Outcome: OK, Version: c.version, Path: c.path, Confirmed: c.confirmedAt.Sub(arrived)}
	for name, v := range c.objects {
		a.Changes = append(a.Changes, platform.Change[T]{Name: name, Value: v})
	}
	return a
}

// changesAfter returns the kept changes after a version, without those of objects that a
// later batch changes again: an answer must not grow with the number of versions. The lock
// must be held.
func (c *Cache[T]) changesAfter(version platform.StoreVersion) []platform.Change[T] {
	var out []platform.Change[T]
	changedLater := map[string]bool{}
	for _, stored := range slices.Backward(c.batches) {
		if stored.version <= version {
			break
		}
		for _, change := range slices.Backward(stored.changes) {
			if !changedLater[change.Name] {
				out = append(out, change)
			}
		}
		for _, change := range stored.changes {
			changedLater[change.Name] = true
		}
	}
	slices.Reverse(out)
	return out
}

// An Answer is a mirror's answer to a question. With OK it holds all objects or the
// changes asked for, as of a version.
type Answer[T any] struct {
	Outcome Outcome
	Version platform.StoreVersion
	Changes []platform.Change[T]
	// Path holds the VMs through which the mirror read the store, nearest first.
	Path []ident.VMID
	// Confirmed is when the store last confirmed the objects, relative to the arrival of the
	// question; negative if before it.
	Confirmed time.Duration
}

// An Origin describes where objects or changes came from.
type Origin struct {
	// Path holds the VMs through which they came, nearest first; none if they came from the
	// store.
	Path []ident.VMID
	// ConfirmedAt is the latest time at which the store is known to have had no others.
	ConfirmedAt time.Time
}

// List returns all objects. If nothing was read yet, it waits for the first listing,
// since VMs that start together ask a mirror before it has read the store.
func (c *Cache[T]) List(ctx context.Context, wait time.Duration) Answer[T] {
	arrived := c.time()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, updated := c.list(arrived)
		if updated == nil {
			return a
		}
		select {
		case <-updated:
		case <-timer.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// list returns all objects or, if nothing was read yet, a channel that is closed at the
// next update.
func (c *Cache[T]) list(arrived time.Time) (Answer[T], <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		if c.version > 0 {
			return Answer[T]{Outcome: Disconnected}, nil
		}
		return Answer[T]{Outcome: Disconnected}, c.updated.Next()
	}
	return c.allObjects(arrived), nil
}

// Changes returns the changes after a version as soon as there are any, or none as soon as
// the store has confirmed that there are none, or after wait. Confirmations thus reach all
// VMs that read through this one within the latency of the network. It returns Disconnected
// once the cache has been disconnected for disconnectGrace.
func (c *Cache[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) Answer[T] {
	arrived := c.time()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, updated, disconnectedFor := c.changesSince(after, arrived)
		if a.Outcome == Compacted || len(a.Changes) > 0 || (a.Outcome == OK && (a.Confirmed > 0 || wait <= 0)) {
			return a
		}
		var graceEnded <-chan time.Time
		if a.Outcome == Disconnected {
			if disconnectedFor >= disconnectGrace || wait <= 0 {
				return a
			}
			graceEnded = time.After(disconnectGrace - disconnectedFor)
		}
		select {
		case <-updated:
		case <-graceEnded:
		case <-timer.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// changesSince returns the changes after a version, a channel that is closed at the next
// update, and the time since the cache last became disconnected.
func (c *Cache[T]) changesSince(after platform.StoreVersion, arrived time.Time) (Answer[T], <-chan struct{}, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := Answer[T]{Outcome: OK, Version: max(after, c.version), Path: c.path, Confirmed: c.confirmedAt.Sub(arrived)}
	switch {
	case !c.connected:
		a.Outcome = Disconnected
	case after < c.base:
		a.Outcome = Compacted
	default:
		a.Changes = c.changesAfter(after)
	}
	return a, c.updated.Next(), c.time().Sub(c.disconnectedAt)
}
