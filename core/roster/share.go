package roster

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

// Senders returns the VMs that may be sending to upstreams, sorted by ID. A dead
// VM is included until its entry is removed, since it may only be partitioned or
// paused, unless the platform no longer lists it.
func (r *Roster) Senders() []ident.VMID {
	var out []ident.VMID
	for vm, m := range r.members {
		if m.State == Dead && r.unlisted[vm] {
			continue
		}
		out = append(out, vm)
	}
	slices.Sort(out)
	return out
}

// RendezvousWeight returns the rendezvous weight of a VM for a subject, from the
// hashes of their names (Thaler, Ravishankar: "A Name-Based Mapping Scheme for
// Rendezvous"). It uses the finalizer of SplitMix64.
func RendezvousWeight(subject, vm uint64) uint64 {
	z := subject ^ bits.RotateLeft64(vm, 32)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// A RendezvousOrder ranks one VM among others by rendezvous hashing.
type RendezvousOrder struct {
	self ident.VMID
	vms  []ident.VMID
	// hashes holds the hash of each VM's ID.
	hashes []uint64
}

// NewRendezvousOrder returns a RendezvousOrder that ranks self among vms.
func NewRendezvousOrder(self ident.VMID, vms []ident.VMID) *RendezvousOrder {
	o := &RendezvousOrder{self: self, vms: vms, hashes: make([]uint64, len(vms))}
	for i, vm := range vms {
		o.hashes[i] = xxhash.Sum64String(string(vm))
	}
	return o
}

// Rank returns the VM's position in the order of the subject, 0 for the highest
// weight. Equal weights are ordered by ID.
func (o *RendezvousOrder) Rank(subject string) int {
	base := xxhash.Sum64String(subject)
	own := RendezvousWeight(base, xxhash.Sum64String(string(o.self)))
	rank := 0
	for i, vm := range o.vms {
		w := RendezvousWeight(base, o.hashes[i])
		if vm != o.self && (w > own || (w == own && vm < o.self)) {
			rank++
		}
	}
	return rank
}

// First returns the first n VMs in the order of the subject, without those to skip.
func (o *RendezvousOrder) First(subject string, n int, skip func(ident.VMID) bool) []ident.VMID {
	base := xxhash.Sum64String(subject)
	type candidate struct {
		vm     ident.VMID
		weight uint64
	}
	candidates := make([]candidate, 0, len(o.vms))
	for i, vm := range o.vms {
		if !skip(vm) {
			candidates = append(candidates, candidate{vm, RendezvousWeight(base, o.hashes[i])})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	var out []ident.VMID
	for _, c := range candidates[:min(n, len(candidates))] {
		out = append(out, c.vm)
	}
	return out
}

// Len returns the number of VMs.
func (o *RendezvousOrder) Len() int { return len(o.vms) }

// WatchersPerZone is the number of VMs per zone that watch the platform.
const WatchersPerZone = 2

// Watches reports whether this VM is one of its zone's watchers, which are the
// first WatchersPerZone in the rendezvous order of the zone's alive VMs.
func (r *Roster) Watches() bool {
	self := r.Self()
	var vms []ident.VMID
	for vm, m := range r.members {
		if m.Zone == self.Zone && m.State == Alive {
			vms = append(vms, vm)
		}
	}
	return NewRendezvousOrder(r.self, vms).Rank("watch."+string(self.Zone)) < WatchersPerZone
}
