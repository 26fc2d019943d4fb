package roster

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/ident"
)

// Senders returns the VMs that may be sending to upstreams, in the order of
// their names. A dead one counts while it is remembered, since it may only be
// cut off or paused, unless the platform's list says that it is gone.
func (r *Roster) Senders() []ident.VMID {
	var out []ident.VMID
	for vm, m := range r.members {
		if m.State == Dead && r.gone[vm] {
			continue
		}
		out = append(out, vm)
	}
	slices.Sort(out)
	return out
}

// Weight is the rendezvous weight of a VM for a subject (Thaler, Ravishankar:
// "A Name-Based Mapping Scheme for Rendezvous").
func Weight(vm ident.VMID, subject string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(subject)
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(string(vm)))
	_, _ = d.Write(seed[:])
	return d.Sum64()
}

// Rank returns the VM's place in the rendezvous order of the subject: 0 for the
// highest weight among vms.
func Rank(self ident.VMID, vms []ident.VMID, subject string) int {
	own := Weight(self, subject)
	rank := 0
	for _, vm := range vms {
		w := Weight(vm, subject)
		if vm != self && (w > own || (w == own && vm < self)) {
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
	return Rank(r.self, vms, "watch."+string(self.Zone)) < WatchersPerZone
}
