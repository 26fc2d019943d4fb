package subset_test

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/subset"
	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

// assignments returns for each VM which replicas it is assigned to.
func assignments(vms []subset.VM, replicas []subset.Replica, connections int) [][]bool {
	out := make([][]bool, len(vms))
	for i, vm := range vms {
		out[i] = subset.NewFleet(vm.ID, vms).Assigned("shard-7", replicas, connections)
	}
	return out
}

// fleet returns n VMs in zones z0 to z3, in any proportion, and a replica in each of z0 to
// z2.
func fleet(t *rapid.T, n int) ([]subset.VM, []subset.Replica) {
	parts := rapid.SliceOfN(rapid.IntRange(0, 9), 4, 4).Draw(t, "proportions of the zones")
	var zones []ident.ZoneID
	for z, part := range parts {
		for range part {
			zones = append(zones, ident.ZoneID(fmt.Sprint("z", z)))
		}
	}
	zones = append(zones, "z3")
	var vms []subset.VM
	for i := range n {
		vms = append(vms, subset.VM{ID: ident.VMID(fmt.Sprint("vm-", i)), Zone: zones[i%len(zones)]})
	}
	var replicas []subset.Replica
	for i := range 3 {
		replicas = append(replicas, subset.Replica{ID: ident.ReplicaID(fmt.Sprint("r-", rapid.IntRange(0, 99999).Draw(t, "ID"), i)), Zone: ident.ZoneID(fmt.Sprint("z", i))})
	}
	return vms, replicas
}

// TestConnectionsFit checks, with more VMs than the connections that each of the three
// replicas of a shard accepts, that no replica gets more VMs than connections and that each
// VM may use at least one replica.
func TestConnectionsFit(t *testing.T) {
	const connections = 122
	for _, n := range []int{122, 140, 300, 363} {
		rapid.Check(t, func(t *rapid.T) {
			vms, replicas := fleet(t, n)
			users := make([]int, len(replicas))
			for i, assigned := range assignments(vms, replicas, connections) {
				any := false
				for j := range assigned {
					if assigned[j] {
						users[j]++
						any = true
					}
				}
				if !any {
					t.Fatalf("%s of %d VMs may use no replica", vms[i].ID, n)
				}
			}
			for j, u := range users {
				if u > connections-1 {
					t.Fatalf("%d VMs may use replica %d, which accepts %d connections and must keep one", u, j, connections)
				}
				if u < connections-1 && n >= connections-1 {
					t.Fatalf("%d of %d VMs may use replica %d: connections are left", u, n, j)
				}
			}
		})
	}
}

// TestLocalReplicaIsAssigned checks that each VM may use the replica of its availability
// zone if that accepts the VMs of the zone and of those without a replica.
func TestLocalReplicaIsAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms, replicas := fleet(t, 140)
		inZone := map[ident.ZoneID]int{}
		for _, vm := range vms {
			inZone[vm.Zone]++
		}
		for _, r := range replicas {
			if inZone[r.Zone]+inZone["z3"] > 121 {
				t.Skip("a zone has more VMs than connections")
			}
		}
		for i, assigned := range assignments(vms, replicas, 122) {
			for j := range replicas {
				if replicas[j].Zone == vms[i].Zone && !assigned[j] {
					t.Fatalf("%s may not use the replica of its zone", vms[i].ID)
				}
			}
		}
	})
}

// TestAssignmentIgnoresOrder checks that VMs that list the VMs and replicas in another
// order decide the same.
func TestAssignmentIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms, replicas := fleet(t, 140)
		shuffledVMs := rapid.Permutation(vms).Draw(t, "VMs")
		shuffled := rapid.Permutation(replicas).Draw(t, "replicas")
		self := vms[rapid.IntRange(0, 139).Draw(t, "self")].ID
		a := subset.NewFleet(self, vms).Assigned("s", replicas, 122)
		b := subset.NewFleet(self, shuffledVMs).Assigned("s", shuffled, 122)
		for i := range replicas {
			for j := range shuffled {
				if replicas[i] == shuffled[j] && a[i] != b[j] {
					t.Fatalf("%s is decided as %v and %v", replicas[i].ID, a[i], b[j])
				}
			}
		}
	})
}

// differences returns how many VMs of both lists are assigned to other replicas in the one
// than in the other.
func differences(a, b map[ident.VMID][]bool) int {
	n := 0
	for id, assigned := range a {
		if other, ok := b[id]; ok && !slices.Equal(assigned, other) {
			n++
		}
	}
	return n
}

func byID(vms []subset.VM, replicas []subset.Replica, connections int) map[ident.VMID][]bool {
	out := map[ident.VMID][]bool{}
	for i, assigned := range assignments(vms, replicas, connections) {
		out[vms[i].ID] = assigned
	}
	return out
}

// maxMoved bounds the VMs that one lost VM moves: some take, one after the other, the places
// that become free at homes, and for each replica some the connections that are left over.
const maxMoved = 12

// TestLostVMMovesFewOthers checks that the loss of one VM changes the replicas of few others,
// whether the replicas have more connections than there are VMs or just as many.
func TestLostVMMovesFewOthers(t *testing.T) {
	for _, n := range []int{140, 363} {
		most := 0
		rapid.Check(t, func(t *rapid.T) {
			vms, replicas := fleet(t, n)
			lost := rapid.IntRange(0, n-1).Draw(t, "lost VM")
			before := byID(vms, replicas, 122)
			after := byID(slices.Delete(slices.Clone(vms), lost, lost+1), replicas, 122)
			moved := differences(before, after)
			most = max(most, moved)
			if moved > maxMoved {
				t.Fatalf("%d of %d VMs moved", moved, n)
			}
		})
		t.Logf("%d VMs: at most %d moved", n, most)
	}
}

// TestMixedListsExceedByFew checks, while half of the VMs have a list without the VM that was
// added last, how many VMs more than allowed use a replica.
func TestMixedListsExceedByFew(t *testing.T) {
	const connections, allowed = 122, 4
	for _, n := range []int{140, 363} {
		most := 0
		rapid.Check(t, func(t *rapid.T) {
			vms, replicas := fleet(t, n)
			added := rapid.IntRange(0, n-1).Draw(t, "added VM")
			half := rapid.IntRange(0, 1).Draw(t, "half")
			old := byID(slices.Delete(slices.Clone(vms), added, added+1), replicas, connections)
			users := make([]int, len(replicas))
			for i, assigned := range assignments(vms, replicas, connections) {
				if behind, ok := old[vms[i].ID]; ok && i%2 == half {
					assigned = behind
				}
				for j := range assigned {
					if assigned[j] {
						users[j]++
					}
				}
			}
			exceeded := slices.Max(users) - (connections - 1)
			most = max(most, exceeded)
			if exceeded > allowed {
				t.Fatalf("%d of %d VMs use one replica", slices.Max(users), n)
			}
		})
		t.Logf("%d VMs: at most %d more than allowed", n, most)
	}
}
