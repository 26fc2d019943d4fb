// Package roster decides which VMs are believed to be alive. It follows SWIM
// (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol"): probes, suspicion before death, and
// incarnations by which a VM refutes a suspicion of itself.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// A State is what is believed of a VM. Within an incarnation a later state
// overrides an earlier one.
type State uint8

// The states of a VM. The zero value is Alive.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state of that name.
func ParseState(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// A Member is one VM as this VM believes it to be.
type Member struct {
	VM          ident.VMID
	Zone        ident.ZoneID
	Address     string
	Incarnation ident.Incarnation
	State       State
	// Since is this VM's time of the last change of State.
	Since ident.Instant
}

const (
	// SuspicionTimeout is how long a suspect may refute before it is dead.
	SuspicionTimeout = 5 * time.Second
	// DeadRetention is how long a dead VM is remembered and counts as one that may
	// be sending, unless the platform's list says that it is gone.
	DeadRetention = 10 * time.Minute
)

// A Roster is one VM's belief about all VMs of its deployment.
type Roster struct {
	self ident.VMID
	// Members holds the VM itself too.
	members map[ident.VMID]*Member
	// Changed collects the members to tell others of.
	changed   []Member
	hash      uint64
	hashValid bool
	// Order is the probe probeOrder of at most Neighbours members; next is the place
	// in it.
	probeOrder []ident.VMID
	probeNext  int
	// Suspects are the instants at which a suspicion of a member ends.
	suspects container.Timers[ident.VMID]
	// Listed are the VMs that the platform's list has held; unlisted are those of
	// them that it holds no longer.
	listed, unlisted map[ident.VMID]bool
}

// New returns a Roster that holds the VM itself.
func New(now ident.Instant, self Member) *Roster {
	self.Since = now
	r := &Roster{self: self.VM, members: map[ident.VMID]*Member{self.VM: &self}}
	r.changed = append(r.changed, self)
	return r
}

// Self returns the VM's own entry.
func (r *Roster) Self() Member { return *r.members[r.self] }

// Member returns the entry of a VM.
func (r *Roster) Member(vm ident.VMID) (Member, bool) {
	if m := r.members[vm]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Members returns all entries in the order of their VMs' names.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Merge takes what another VM believes of a member and reports whether it was
// news. A suspicion of the VM itself is refuted with a higher incarnation.
func (r *Roster) Merge(now ident.Instant, m Member) bool {
	if m.VM == r.self {
		return r.refute(now, m)
	}
	known := r.members[m.VM]
	if known != nil && !supersedes(m, *known) {
		return false
	}
	if known == nil && m.State == Dead {
		return false
	}
	r.update(now, m)
	return true
}

func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

func (r *Roster) refute(now ident.Instant, m Member) bool {
	self := r.members[r.self]
	if m.Incarnation < self.Incarnation || (m.Incarnation == self.Incarnation && m.State <= self.State) {
		return false
	}
	// A higher incarnation of this VM's own name is refuted too: the name was
	// reused, and the later life must be the one that is believed.
	next := *self
	next.Incarnation = m.Incarnation + 1
	r.update(now, next)
	return true
}

func (r *Roster) update(now ident.Instant, m Member) {
	m.Since = now
	if _, known := r.members[m.VM]; !known && len(r.probeOrder) < Neighbours {
		r.probeOrder = append(r.probeOrder, m.VM)
	}
	r.members[m.VM] = &m
	r.hashValid = false
	r.changed = append(r.changed, m)
	if m.State == Suspect {
		r.suspects.Add(now.Add(SuspicionTimeout), m.VM)
	}
}

// Suspect notes that a VM did not answer a probe. A VM that said it leaves is
// dead at once.
func (r *Roster) Suspect(now ident.Instant, vm ident.VMID) {
	m := r.members[vm]
	if m == nil || vm == r.self {
		return
	}
	next := *m
	switch m.State {
	case Alive:
		next.State = Suspect
	case Leaving:
		next.State = Dead
	case Suspect, Dead:
		return
	}
	r.update(now, next)
}

// Leave marks the VM itself as leaving.
func (r *Roster) Leave(now ident.Instant) {
	next := *r.members[r.self]
	next.State = Leaving
	r.update(now, next)
}

// Expire turns suspects that did not refute in time into dead ones and forgets
// long dead VMs.
func (r *Roster) Expire(now ident.Instant) {
	for {
		vm, ok := r.suspects.Pop(now)
		if !ok {
			break
		}
		if m := r.members[vm]; m != nil && m.State == Suspect && now.Sub(m.Since) >= SuspicionTimeout {
			next := *m
			next.State = Dead
			r.update(now, next)
		}
	}
	for vm, m := range r.members {
		if m.State == Dead && now.Sub(m.Since) > DeadRetention {
			delete(r.members, vm)
			r.hashValid = false
		}
	}
}

// SetListed takes the platform's list. A dead VM that the list held before and
// lacks now no longer counts as sending.
func (r *Roster) SetListed(vms []ident.VMID) {
	if r.listed == nil {
		r.listed = map[ident.VMID]bool{}
	}
	r.unlisted = maps.Clone(r.listed)
	for _, vm := range vms {
		r.listed[vm] = true
		delete(r.unlisted, vm)
	}
	for vm := range r.unlisted {
		if r.members[vm] == nil {
			delete(r.listed, vm)
		}
	}
}

// Replace makes the list the whole roster, besides the VM itself.
func (r *Roster) Replace(now ident.Instant, list []Member) {
	keep := map[ident.VMID]bool{r.self: true}
	for _, m := range list {
		keep[m.VM] = true
		if known := r.members[m.VM]; m.VM != r.self && (known == nil || known.Incarnation != m.Incarnation) {
			r.update(now, m)
		}
	}
	for vm := range r.members {
		if !keep[vm] {
			delete(r.members, vm)
			r.hashValid = false
		}
	}
}

// Changed returns the members that changed since the last call.
func (r *Roster) Changed() []Member {
	out := r.changed
	r.changed = nil
	return out
}

// Hash summarises the roster; equal rosters have equal hashes. Suspicions do
// not count, since they come and go.
func (r *Roster) Hash() uint64 {
	if r.hashValid {
		return r.hash
	}
	var sum uint64
	for _, m := range r.members {
		if m.State == Dead {
			continue
		}
		d := xxhash.New()
		_, _ = d.WriteString(string(m.VM))
		state := byte(Alive)
		if m.State == Leaving {
			state = byte(Leaving)
		}
		_, _ = d.Write([]byte{state})
		sum += d.Sum64() + uint64(m.Incarnation)
	}
	r.hash, r.hashValid = sum, true
	return sum
}
