package soak

import (
	"sync"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// inTouchAfter is how long the store and a VM must have been undisturbed before a bound on
// changes holds for the VM.
const inTouchAfter = 4 * time.Second

// A span is a time during which a disturbance lasted. A zero end means that it still lasts.
type span struct{ begin, end time.Time }

// A timeline holds the spans of one disturbance. The zero value has none.
type timeline struct {
	// spans are in order, and only the last one may lack its end.
	spans []span
}

// lasts reports whether the disturbance has begun and not ended.
func (t *timeline) lasts() bool {
	return len(t.spans) > 0 && t.spans[len(t.spans)-1].end.IsZero()
}

// set begins or ends the disturbance, unless it is in that state already.
func (t *timeline) set(on bool, at time.Time) {
	switch {
	case on == t.lasts():
	case on:
		t.spans = append(t.spans, span{begin: at})
	default:
		t.spans[len(t.spans)-1].end = at
	}
}

// mark adds a disturbance that ends as it begins.
func (t *timeline) mark(at time.Time) {
	if !t.lasts() {
		t.spans = append(t.spans, span{at, at})
	}
}

// calm reports whether no span has a moment from from to to.
func (t *timeline) calm(from, to time.Time) bool {
	for _, s := range t.spans {
		if !s.begin.After(to) && (s.end.IsZero() || !s.end.Before(from)) {
			return false
		}
	}
	return true
}

// A cause is why a VM is disturbed or does not reach the store.
type cause uint8

// The causes. Each of them but refused puts a VM out of touch.
const (
	// stopped lasts from SIGTERM or SIGKILL to the next start.
	stopped cause = iota
	// frozen lasts from SIGSTOP to SIGCONT.
	frozen
	// cut is the loss of a direction between the VM and the store.
	cut
	// lossy is harm to other links of the VM, to its processor or its clock.
	lossy
	// refused is a store that refuses or does not answer the VM and serves others.
	refused
	causeCount
)

// A vmTouch is the history of one VM.
type vmTouch struct {
	causes [causeCount]timeline
	// starts holds when the VM's processes were started, in order.
	starts []time.Time
}

// reachesStore reports whether the VM runs and the store serves it.
func (v *vmTouch) reachesStore() bool {
	for c := range v.causes {
		if cause(c) != lossy && v.causes[c].lasts() {
			return false
		}
	}
	return true
}

// calm reports whether nothing disturbed the VM itself from from to to.
func (v *vmTouch) calm(from, to time.Time) bool {
	for c := range v.causes {
		if cause(c) != refused && !v.causes[c].calm(from, to) {
			return false
		}
	}
	return true
}

// A touchLog records what disturbed VMs and the store. A VM is in touch at a moment if for
// inTouchAfter before it the VM ran, had both directions to the store and was not otherwise
// disturbed, and no disruption of the store concerned all VMs. A store that refuses some VMs
// leaves them in touch as long as it serves a VM that runs. The zero value is ready for use.
type touchLog struct {
	mu  sync.Mutex
	vms map[ident.VMID]*vmTouch
	// store is the time during which the store was down, slow, refused calls of all VMs,
	// lost answers, withheld changes or dropped its history.
	store timeline
	// unserved is the time during which the store served no VM that ran.
	unserved timeline
}

// vm returns the history of a VM. The lock must be held.
func (t *touchLog) vm(id ident.VMID) *vmTouch {
	v := t.vms[id]
	if v == nil {
		if t.vms == nil {
			t.vms = map[ident.VMID]*vmTouch{}
		}
		v = &vmTouch{}
		t.vms[id] = v
	}
	return v
}

// set begins or ends a disturbance of a VM.
func (t *touchLog) set(id ident.VMID, c cause, on bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vm(id).causes[c].set(on, at)
	t.updateUnserved(at)
}

// started records that a process of the VM was started.
func (t *touchLog) started(id ident.VMID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.vm(id)
	v.starts = append(v.starts, at)
	v.causes[stopped].mark(at)
	v.causes[stopped].set(false, at)
	v.causes[frozen].set(false, at)
	t.updateUnserved(at)
}

// updateUnserved begins or ends the time without a VM that reaches the store. The lock must
// be held.
func (t *touchLog) updateUnserved(at time.Time) {
	for _, v := range t.vms {
		if v.reachesStore() {
			t.unserved.set(false, at)
			return
		}
	}
	t.unserved.set(true, at)
}

// setStore records a change of the store's faults, after which it has some or none.
func (t *touchLog) setStore(faulty bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store.mark(at)
	t.store.set(faulty, at)
}

// inTouch reports whether a VM was in touch at all moments from from to to.
func (t *touchLog) inTouch(id ident.VMID, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-inTouchAfter)
	return t.vm(id).calm(from, to) && t.store.calm(from, to) && t.unserved.calm(from, to)
}

// calm reports whether nothing disturbed the VM itself from from to to.
func (t *touchLog) calm(id ident.VMID, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vm(id).calm(from, to)
}

// process returns the number of the VM's process at a time, counted from 1; 0 before the
// first start.
func (t *touchLog) process(id ident.VMID, at time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, start := range t.vm(id).starts {
		if !start.After(at) {
			n++
		}
	}
	return n
}
