package control

import (
	"slices"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/subset"
	"carawaycross.example/carawaycross/core/view"
)

// An assignment is the result of subset.Fleet.Assigned for the replicas of a service.
type assignment struct {
	replicas    []subset.Replica
	connections int
	assigned    []bool
}

// assignments caches the assignments of this VM while the VMs that may be sending are
// unchanged.
type assignments struct {
	fleet     *subset.Fleet
	byService map[ident.ServiceID]assignment
}

// markReserves marks the replicas to which this VM may connect only if no other replica of
// the service is usable, because the service has more VMs than connections.
func (c *Core) markReserves(v *view.View, services []view.Service) {
	for i := range services {
		s := &services[i]
		if !subset.Needed(v.VMs, s.Connections) || len(s.Replicas) < 2 {
			continue
		}
		for j, assigned := range c.assignment(s) {
			s.Replicas[j].Reserve = !assigned
		}
	}
}

// assignment returns for each replica of a service whether this VM is assigned to it. It
// computes that again if the VMs or the replicas have changed.
func (c *Core) assignment(s *view.Service) []bool {
	replicas := make([]subset.Replica, len(s.Replicas))
	for j := range s.Replicas {
		replicas[j] = subset.Replica{ID: s.Replicas[j].ID, Zone: s.Replicas[j].Zone}
	}
	known, ok := c.assignments.byService[s.ID]
	if ok && known.connections == s.Connections && slices.Equal(known.replicas, replicas) {
		return known.assigned
	}
	if c.assignments.fleet == nil {
		c.assignments = assignments{subset.NewFleet(c.config.Self.VM, c.fleetVMs()), map[ident.ServiceID]assignment{}}
	}
	assigned := c.assignments.fleet.Assigned(s.ID, replicas, s.Connections)
	c.assignments.byService[s.ID] = assignment{replicas, s.Connections, assigned}
	return assigned
}

// fleetVMs returns the VMs that may be sending, with their zones.
func (c *Core) fleetVMs() []subset.VM {
	vms := make([]subset.VM, 0, len(c.senders))
	for _, m := range c.roster.Members() {
		if slices.Contains(c.senders, m.VM) {
			vms = append(vms, subset.VM{ID: m.VM, Zone: m.Zone})
		}
	}
	return vms
}
