// Package roster implements group membership: it decides which VMs are considered
// alive. It follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol"): VMs are probed, a VM is
// suspected before it is declared dead, and a VM refutes a suspicion of itself
// with a higher incarnation.
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

// A State is the liveness of a VM. Within an incarnation a higher value overrides a
// lower one.
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

// ParseState returns the state with the given name, or false if there is none.
func ParseState(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// A Member is the roster entry of one VM.
type Member struct {
	VM          ident.VMID
	Zone        ident.ZoneID
	Address     string
	Incarnation ident.Incarnation
	State       State
	// Since is the local time of the last update of the entry.
	Since ident.Instant
}

const (
	// SuspicionTimeout is the time that a suspected VM has to refute before it is
	// declared dead.
	SuspicionTimeout = 5 * time.Second
	// DeadRetention is how long the entry of a dead VM is kept. Until then the VM
	// counts as a sender, unless the platform no longer lists it.
	DeadRetention = 10 * time.Minute
)

// A Roster is one VM's membership list of its deployment.
type Roster struct {
	self ident.VMID
	// members includes the VM itself.
	members map[ident.VMID]*Member
	// changed collects the entries updated since the last call of Changed.
	changed []Member
	// hash caches the result of Hash while hashValid is true.
	hash      uint64
	hashValid bool
	// probeOrder holds at most Neighbours members; probeNext is the index of the
	// next one to probe.
	probeOrder []ident.VMID
	probeNext  int
	// suspects holds the suspicion timeouts.
	suspects container.Timers[ident.VMID]
	// listed holds the VMs that have been in the platform's list, and unlisted those
	// of them that are missing from its latest version.
	listed, unlisted map[ident.VMID]bool
}

// New returns a Roster with self as its only member.
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

// Members returns all entries sorted by VM ID.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Merge applies a roster entry received from another VM and reports whether it
// changed the roster. A suspicion of the VM itself is refuted with a higher
// incarnation. An unknown VM that is dead is ignored.
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

// supersedes reports whether a replaces b as the entry of the same VM.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// refute answers a claim about the VM itself that supersedes its own entry with a
// higher incarnation, and reports whether it did.
func (r *Roster) refute(now ident.Instant, m Member) bool {
	self := r.members[r.self]
	if m.Incarnation < self.Incarnation || (m.Incarnation == self.Incarnation && m.State <= self.State) {
		return false
	}
	// A higher incarnation of this VM's own ID is refuted too: the ID was reused,
	// and the running process must supersede the earlier one.
	next := *self
	next.Incarnation = m.Incarnation + 1
	r.update(now, next)
	return true
}

// update stores an entry, records it as changed, and starts the suspicion timeout of
// a suspect.
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

// Suspect records that a VM did not answer a probe. A VM that announced its
// shutdown is declared dead immediately.
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

// Leave marks the VM itself as shutting down.
func (r *Roster) Leave(now ident.Instant) {
	next := *r.members[r.self]
	next.State = Leaving
	r.update(now, next)
}

// Expire declares suspected VMs dead that did not refute within SuspicionTimeout,
// and removes VMs that have been dead for longer than DeadRetention.
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

// SetListed sets the platform's list of VMs. A dead VM that was listed before and
// no longer is does not count as a sender.
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

// Replace replaces all members except the VM itself by those of the list.
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

// Changed returns the entries updated since the last call.
func (r *Roster) Changed() []Member {
	out := r.changed
	r.changed = nil
	return out
}

// Hash returns a hash of the roster that does not depend on the order of its
// members. Dead members are excluded, and a suspected one counts as alive,
// since suspicions are transient.
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
