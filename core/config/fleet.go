package config

import (
	"fmt"
	"slices"

	"carawaycross.example/carawaycross/core/ident"
)

// MinSlotShare is the share of all slots that must be in service after a change.
const MinSlotShare ident.Share = 0.5

// A FleetReplica holds the properties of a replica that the capacity check uses.
type FleetReplica struct {
	Service ident.ServiceID
	Shard   ident.ShardID
	ID      ident.ReplicaID
	Zone    ident.ZoneID
	Slots   int
}

// A Fleet lists the availability zones, VMs and replicas of the deployment.
type Fleet struct {
	Zones    []ident.ZoneID
	VMs      []ident.VMID
	Replicas []FleetReplica
}

type shardKey struct {
	service ident.ServiceID
	shard   ident.ShardID
}

// Check refuses a change to a zone or VM that is not part of the fleet. Unless the
// change is forced, it also refuses one that leaves no zone, a shard without a
// replica, or less than MinSlotShare of the slots in service.
func (f *Fleet) Check(after *Configuration, ch Change) error {
	op := string(ch.Kind)
	switch ch.Kind {
	case ZoneOut, ZoneIn:
		if !slices.Contains(f.Zones, ident.ZoneID(ch.Subject)) {
			return &Error{op, Unknown, fmt.Errorf("availability zone %q does not exist, the zones are %v", ch.Subject, f.Zones)}
		}
	case VMOut, VMIn:
		if !f.hasVM(ch.Subject) {
			return &Error{op, Unknown, fmt.Errorf("VM or replica %q does not exist", ch.Subject)}
		}
	case PutPreset, SwitchPreset:
		return nil
	}
	if ch.Force || ch.Kind == ZoneIn || ch.Kind == VMIn {
		return nil
	}
	return f.checkCapacity(op, after)
}

// hasVM reports whether name is an entry VM or an upstream replica of the fleet.
func (f *Fleet) hasVM(name string) bool {
	return slices.Contains(f.VMs, ident.VMID(name)) ||
		slices.ContainsFunc(f.Replicas, func(r FleetReplica) bool { return string(r.ID) == name })
}

func (f *Fleet) checkCapacity(op string, after *Configuration) error {
	if left := len(f.Zones) - len(after.ZonesOut); left < 1 && len(f.Zones) > 0 {
		return &Error{op, Capacity, fmt.Errorf("none of the %d availability zones would be left", len(f.Zones))}
	}
	total, left := 0, 0
	perShard := map[shardKey]int{}
	for _, r := range f.Replicas {
		k := shardKey{r.Service, r.Shard}
		total += r.Slots
		if after.ZoneIsOut(r.Zone) || after.VMIsOut(string(r.ID)) {
			perShard[k] += 0
			continue
		}
		left += r.Slots
		perShard[k]++
	}
	for _, r := range f.Replicas {
		if perShard[shardKey{r.Service, r.Shard}] == 0 {
			return &Error{op, Capacity, fmt.Errorf("%s shard %d would have no replica left", r.Service, r.Shard)}
		}
	}
	if float64(left) < float64(MinSlotShare)*float64(total) {
		return &Error{op, Capacity, fmt.Errorf("%d of %d slots would be left, at least %.0f%% are required", left, total, 100*MinSlotShare)}
	}
	return nil
}
