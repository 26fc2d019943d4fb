package node

import (
	"cmp"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// A ReplicaReport is the state of one replica as recorded by this VM.
type ReplicaReport struct {
	Service   ident.ServiceID
	Shard     ident.ShardID
	ID        ident.ReplicaID
	Zone      ident.ZoneID
	Condition replica.Condition
	Out       bool
	InFlight  int
	Limit     int
	// Pace is the concurrency over all VMs to which a pace limits the replica; 0 for none.
	Pace    float64
	Latency time.Duration
}

// A ServiceReport summarizes the availability of a service for new searches.
type ServiceReport struct {
	ID ident.ServiceID
	// Shards counts the shards of the chosen map, Usable those with a usable replica.
	Shards, Usable int
	Snapshot       ident.SnapshotID
	Median         time.Duration
}

// A Report is the state of a Core as shown to operators.
type Report struct {
	InFlight int
	Keys     int
	Services []ServiceReport
	Replicas []ReplicaReport
}

// Report returns the state of the Core.
func (c *Core) Report(now ident.Instant) Report {
	out := Report{InFlight: c.inFlight, Keys: c.ledger.Len()}
	for _, svc := range c.services {
		out.Services = append(out.Services, c.reportService(now, svc))
		for _, sh := range svc.shards {
			for _, r := range sh.Replicas {
				out.Replicas = append(out.Replicas, ReplicaReport{
					Service: svc.id, Shard: sh.ID, ID: r.ID, Zone: r.Zone, Condition: r.Condition(now),
					Out: r.Out, InFlight: r.InFlight, Limit: r.Limit(now), Pace: r.Pace(now), Latency: r.Latency(),
				})
			}
		}
	}
	slices.SortFunc(out.Services, func(a, b ServiceReport) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Replicas, func(a, b ReplicaReport) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (c *Core) reportService(now ident.Instant, svc *service) ServiceReport {
	at, m := svc.chooseSnapshot(now)
	r := ServiceReport{ID: svc.id, Snapshot: at, Median: svc.profile.latency.Median(now)}
	if m == nil {
		return r
	}
	r.Shards = len(m.Shards)
	for _, id := range m.Shards {
		if sh := svc.shards[id]; sh != nil && sh.Usable(now) > 0 {
			r.Usable++
		}
	}
	return r
}
