package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// NextProbe returns the next VM to probe, round robin over the shuffled
// neighbours, so that each is probed within two rounds; false when there is no
// other.
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

// shuffleProbeOrder makes the probe order anew: this VM's neighbours that are not dead.
func (r *Roster) shuffleProbeOrder(random replica.Random) {
	r.probeOrder, r.probeNext = r.neighbours(), 0
	for i := len(r.probeOrder) - 1; i > 0; i-- {
		j := random.IntN(i + 1)
		r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i]
	}
}

// Neighbours is the number of VMs that a VM probes and tells. They stay the
// same while the roster does, so that links to them stay open; each VM is the
// neighbour of about as many others.
const Neighbours = 20

// neighbours returns the others that are not dead: all, or those first in this
// VM's rendezvous order.
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
	weight := func(vm ident.VMID) uint64 { return rendezvousWeight(base, xxhash.Sum64String(string(vm))) }
	slices.SortFunc(out, func(a, b ident.VMID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out[:Neighbours]
}

// Sample returns up to n random others that are not dead and not except.
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

// RandomDead returns a random dead VM to probe now and then: after a partition heals
// nobody else would.
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
