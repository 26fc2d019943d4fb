// Package subset decides which VMs may connect to a replica that accepts fewer
// connections than there are VMs. Each VM has a home among the replicas of a service, in
// its own availability zone if one is there; the connections that the homes leave over go
// to VMs of the other replicas in turn. All VMs with the same roster and the same list of
// replicas decide the same, and the loss of one VM changes the replicas of few others.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/roster"
)

// spareConnections are left for a VM that replaces another one: both may hold connections
// for a while.
const spareConnections = 1

// A VM is one that may be sending.
type VM struct {
	ID   ident.VMID
	Zone ident.ZoneID
}

// A Replica is one replica of a service.
type Replica struct {
	ID   ident.ReplicaID
	Zone ident.ZoneID
}

// Needed reports whether the replicas of a service accept too few connections for one of
// each VM.
func Needed(vms, connections int) bool { return vms+spareConnections > connections }

// A Fleet holds the VMs that may be sending.
type Fleet struct {
	self   ident.VMID
	vms    []VM
	hashes []uint64
}

// NewFleet returns the Fleet of vms, of which self is the one that decides.
func NewFleet(self ident.VMID, vms []VM) *Fleet {
	f := &Fleet{self: self, vms: vms, hashes: make([]uint64, len(vms))}
	for i, vm := range vms {
		f.hashes[i] = xxhash.Sum64String(string(vm.ID))
	}
	return f
}

// Assigned reports for each replica of a service whether this VM may connect to it, if each
// replica accepts the given number of connections. At most that many VMs, without the
// spare ones, are assigned to a replica. Each VM is assigned to at least one if there are
// enough connections for all of them.
func (f *Fleet) Assigned(service ident.ServiceID, replicas []Replica, connections int) []bool {
	assigned := make([]bool, len(replicas))
	if len(replicas) == 0 {
		return assigned
	}
	order := sorted(replicas)
	most := max(connections-spareConnections, 1)
	homes := f.homes(service, order, replicas, most)
	size, own, position := f.groups(service, homes, len(replicas))
	if own < 0 {
		// This VM is not in the roster yet, or there are too few connections for it.
		return assigned
	}
	for j := range order {
		ahead := position
		for k := j; k != own; k = (k + len(order) - 1) % len(order) {
			ahead += size[k]
		}
		assigned[order[j]] = ahead < most
	}
	return assigned
}

// sorted returns the indices of the replicas in the order of their IDs.
func sorted(replicas []Replica) []int {
	order := make([]int, len(replicas))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if replicas[a].ID < replicas[b].ID {
			return -1
		}
		return 1
	})
	return order
}

// homes returns the home of each VM, as an index into order, or -1 if no connections are
// left: the first one in its preferences that is not full, if the VMs choose in the order of
// the service. At most the given number of VMs have one home. See Mirrokni, Thorup and
// Zadimoghaddam, "Consistent Hashing with Bounded Loads".
func (f *Fleet) homes(service ident.ServiceID, order []int, replicas []Replica, most int) []int {
	bases := make([]uint64, len(order))
	for j, i := range order {
		bases[j] = xxhash.Sum64String(string(replicas[i].ID))
	}
	size := make([]int, len(order))
	homes := make([]int, len(f.vms))
	for _, v := range f.inOrder(service) {
		best, bestLocal, bestWeight := -1, false, uint64(0)
		for j, i := range order {
			if size[j] >= most {
				continue
			}
			local := replicas[i].Zone == f.vms[v].Zone
			w := roster.RendezvousWeight(bases[j], f.hashes[v])
			if best < 0 || (local && !bestLocal) || (local == bestLocal && w > bestWeight) {
				best, bestLocal, bestWeight = j, local, w
			}
		}
		homes[v] = best
		if best >= 0 {
			size[best]++
		}
	}
	return homes
}

// inOrder returns the indices of the VMs in the rendezvous order of the service.
func (f *Fleet) inOrder(service ident.ServiceID) []int {
	base := xxhash.Sum64String(string(service))
	order := make([]int, len(f.vms))
	for v := range order {
		order[v] = v
	}
	slices.SortFunc(order, func(a, b int) int {
		if f.before(base, a, b) {
			return -1
		}
		return 1
	})
	return order
}

// groups returns the number of VMs of each home, the home of this VM, -1 if it has none or
// is not in the roster, and its position among the VMs of that home.
func (f *Fleet) groups(service ident.ServiceID, homes []int, replicas int) (size []int, own, position int) {
	size = make([]int, replicas)
	self := slices.IndexFunc(f.vms, func(vm VM) bool { return vm.ID == f.self })
	for _, home := range homes {
		if home >= 0 {
			size[home]++
		}
	}
	if self < 0 {
		return size, -1, 0
	}
	base := xxhash.Sum64String(string(service))
	for v, home := range homes {
		if home == homes[self] && f.before(base, v, self) {
			position++
		}
	}
	return size, homes[self], position
}

// before reports whether VM a precedes VM b in the order of a subject.
func (f *Fleet) before(base uint64, a, b int) bool {
	wa, wb := roster.RendezvousWeight(base, f.hashes[a]), roster.RendezvousWeight(base, f.hashes[b])
	return wa > wb || (wa == wb && f.vms[a].ID < f.vms[b].ID)
}
