package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// NextProbe returns the next VM to probe, or false when there is none. It iterates
// over the neighbours round robin and shuffles them after each round, so that
// each is probed within two rounds.
func (r *Roster) NextProbe(random replica.Random) (Member, bool) {
	for range 2*len(r.probeOrder) + 1 {
		if r.probeNext >= len(r.probeOrder) {
			r.shuffleProbeOrder(random)
		}
		if len(r.probeOrder) == 0 {
			break
		}
		vm := r.probeOrder[r.probeNext]
		r.probeNext++
		if m := r.members[vm]; m != nil && m.State != Dead {
			return *m, true
		}
	}
	return Member{}, false
}

// shuffleProbeOrder sets the probe order to a random permutation of this VM's
// neighbours that are not dead.
func (r *Roster) shuffleProbeOrder(random replica.Random) {
	r.probeOrder, r.probeNext = r.neighbours(), 0
	for i := len(r.probeOrder) - 1; i > 0; i-- {
		j := random.IntN(i + 1)
		r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i]
	}
}

// Neighbours is the maximum number of VMs to which a VM sends probes and pushes.
// They stay the same while the roster is unchanged, so that connections to them
// stay open. Each VM is the neighbour of about as many others.
const Neighbours = 20

// neighbours returns the other VMs that are not dead; if there are more than
// Neighbours, the first of them in this VM's rendezvous order.
func (r *Roster) neighbours() []ident.VMID {
	var out []ident.VMID
	for vm, m := range r.members {
		if vm != r.self && m.State != Dead {
			out = append(out, vm)
		}
	}
	if len(out) <= Neighbours {
		slices.Sort(out)
		return out
	}
	base := xxhash.Sum64String(string(r.self))
	weight := func(vm ident.VMID) uint64 { return RendezvousWeight(base, xxhash.Sum64String(string(vm))) }
	slices.SortFunc(out, func(a, b ident.VMID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out[:Neighbours]
}

// Sample returns up to n random neighbours that are neither dead nor exclude. It
// steps through the probe order with a random stride coprime to its length, which
// visits each neighbour once.
func (r *Roster) Sample(random replica.Random, n int, exclude ident.VMID) []Member {
	var out []Member
	if len(r.probeOrder) == 0 {
		return nil
	}
	start := random.IntN(len(r.probeOrder))
	step := 1 + random.IntN(max(len(r.probeOrder)-1, 1))
	for gcd(step, len(r.probeOrder)) != 1 {
		step++
	}
	for i := range len(r.probeOrder) {
		m := r.members[r.probeOrder[(start+i*step)%len(r.probeOrder)]]
		if m == nil || m.State == Dead || m.VM == exclude {
			continue
		}
		if out = append(out, *m); len(out) == n {
			break
		}
	}
	return out
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// RandomDead returns a random dead VM, or false when there is none. Dead VMs are
// probed occasionally because after a partition heals no other message would
// reach them.
func (r *Roster) RandomDead(random replica.Random) (Member, bool) {
	var dead []Member
	for _, m := range r.Members() {
		if m.State == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	return dead[random.IntN(len(dead))], true
}
