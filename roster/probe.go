package roster

import (
	"carawaycross.example/carawaycross/ident"
	"carawaycross.example/carawaycross/replica"
)

// NextProbe returns the next VM to probe, round robin over a shuffled order, so
// that each VM is probed within two rounds; false when there is no other.
func (r *Roster) NextProbe(random replica.Random) (Member, bool) {
	for range 2 * len(r.order) {
		if r.next >= len(r.order) {
			r.shuffle(random)
		}
		vm := r.order[r.next]
		r.next++
		if m := r.members[vm]; m != nil && m.State != Dead {
			return *m, true
		}
	}
	return Member{}, false
}

func (r *Roster) shuffle(random replica.Random) {
	kept := r.order[:0]
	for _, vm := range r.order {
		if r.members[vm] != nil {
			kept = append(kept, vm)
		}
	}
	r.order, r.next = kept, 0
	for i := len(kept) - 1; i > 0; i-- {
		j := random.IntN(i + 1)
		kept[i], kept[j] = kept[j], kept[i]
	}
}

// Sample returns up to n random others that are not dead and not except.
func (r *Roster) Sample(random replica.Random, n int, except ident.VMID) []Member {
	var out []Member
	if len(r.order) == 0 {
		return nil
	}
	start := random.IntN(len(r.order))
	step := 1 + random.IntN(max(len(r.order)-1, 1))
	for gcd(step, len(r.order)) != 1 {
		step++
	}
	for i := range len(r.order) {
		m := r.members[r.order[(start+i*step)%len(r.order)]]
		if m == nil || m.State == Dead || m.VM == except {
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

// Dead returns a random dead VM to probe now and then: after a partition heals
// nobody else would.
func (r *Roster) Dead(random replica.Random) (Member, bool) {
	var chosen Member
	n := 0
	for _, vm := range r.order {
		if m := r.members[vm]; m != nil && m.State == Dead {
			n++
			if random.IntN(n) == 0 {
				chosen = *m
			}
		}
	}
	return chosen, n > 0
}
