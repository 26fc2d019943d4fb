package roster

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

// Senders returns the VMs that may be sending to upstreams, in the order of
// their names. A dead one counts while it is remembered, since it may only be
// cut off or paused, unless the platform's list says that it is gone.
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

// rendezvousWeight returns the rendezvous weight of a VM for a subject, from the hashes of
// their names (Thaler, Ravishankar: "A Name-Based Mapping Scheme for
// Rendezvous"). The finalizer is that of SplitMix64.
func rendezvousWeight(subject, vm uint64) uint64 {
	z := subject ^ bits.RotateLeft64(vm, 32)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// An RendezvousOrder ranks one VM among others in the rendezvous order of any subject.
type RendezvousOrder struct {
	self ident.VMID
	vms  []ident.VMID
	// Hashes are those of the vms' names.
	hashes []uint64
}

// NewRendezvousOrder returns the Order of a VM among vms.
func NewRendezvousOrder(self ident.VMID, vms []ident.VMID) *RendezvousOrder {
	o := &RendezvousOrder{self: self, vms: vms, hashes: make([]uint64, len(vms))}
	for i, vm := range vms {
		o.hashes[i] = xxhash.Sum64String(string(vm))
	}
	return o
}

// Rank returns the VM's place in the order of the subject: 0 for the highest
// weight.
func (o *RendezvousOrder) Rank(subject string) int {
	base := xxhash.Sum64String(subject)
	own := rendezvousWeight(base, xxhash.Sum64String(string(o.self)))
	rank := 0
	for i, vm := range o.vms {
		w := rendezvousWeight(base, o.hashes[i])
		if vm != o.self && (w > own || (w == own && vm < o.self)) {
			rank++
		}
	}
	return rank
}

// WatchersPerZone is the number of VMs of a zone that watch the platform.
const WatchersPerZone = 2

// Watches reports whether this VM is one of its zone's watchers: the first in
// the rendezvous order over the zone's VMs that are alive.
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
