package control_test

import (
	"fmt"
	"testing"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/roster"
)

// TestConnectionsFitWithManyVMs checks that of 140 VMs at most 121 may connect to a replica
// that accepts 122 connections, and that each VM may connect to one of three replicas; and
// that nothing is reserved where the connections suffice.
func TestConnectionsFitWithManyVMs(t *testing.T) {
	const n, connections = 140, 122
	var vms []control.ListedVM
	for i := range n {
		vms = append(vms, control.ListedVM{Name: fmt.Sprint("entry-", i), Zone: ident.ZoneID(fmt.Sprint("z", i%4))})
	}
	var replicas []catalogue.Replica
	for i, id := range []ident.ReplicaID{"a", "b", "c"} {
		zone := ident.ZoneID(fmt.Sprint("z", i))
		replicas = append(replicas,
			catalogue.Replica{ID: id, Service: "few", Zone: zone, Slots: 4},
			catalogue.Replica{ID: "many-" + id, Service: "many", Zone: zone, Slots: 4})
	}
	users := map[ident.ReplicaID]int{}
	for _, vm := range vms {
		core := control.New(start, control.Config{
			Self: roster.Member{VM: ident.VMID(vm.Name), Zone: vm.Zone, Incarnation: 1}, Discovers: true, Peerless: true,
		})
		core.RoutesRead(start, catalogue.Configuration{Version: 1, Services: []catalogue.Service{
			{ID: "few", Connections: connections}, {ID: "many", Connections: n + 1},
		}})
		core.ReplicasListed(start, replicas)
		core.VMsListed(start, vms)
		own := 0
		for _, s := range latestView(core).Services {
			for _, r := range s.Replicas {
				switch {
				case r.Reserve && s.ID == "many":
					t.Fatalf("%s is a reserve of %s although its connections suffice", r.ID, vm.Name)
				case !r.Reserve && s.ID == "few":
					users[r.ID]++
					own++
				}
			}
		}
		if own == 0 {
			t.Fatalf("%s may connect to no replica", vm.Name)
		}
	}
	for id, u := range users {
		if u > connections-1 {
			t.Errorf("%d VMs may connect to %s", u, id)
		}
	}
}
