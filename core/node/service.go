package node

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/fairness"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/snapshot"
	"carawaycross.example/carawaycross/core/view"
)

// A queuedPart is a part in the queue of its shard.
type queuedPart struct {
	query container.Handle
	part  int
	// deferred is true once the part was moved behind all others.
	deferred bool
}

type shard struct {
	replica.Shard
	queue *container.FairQueue[flowID, queuedPart]
	// timerPending is true while a queueTimer of the shard is pending.
	timerPending bool
}

type service struct {
	id     ident.ServiceID
	maps   snapshot.Maps
	shards map[ident.ShardID]*shard
	// shardOrder holds the keys of shards, ordered by their first replica in the view.
	shardOrder []ident.ShardID
	profile    profile
	// quota bounds the extra attempts if hasQuota is set; otherwise budgets do.
	quota    retry.Quota
	hasQuota bool
	// hedges and retries share the quota among ranks and tenants.
	hedges, retries fairness.Extras[ident.TenantID]
	// distinctStarts is view.Service.DistinctStarts.
	distinctStarts bool
	// rollout is set while an order moves the service to another version.
	rollout *serviceRollout
	// rolloutTimerPending is true while a rolloutTimer of the service is pending.
	rolloutTimerPending bool
	// budgets are indexed by the rank of the class.
	budgets []retry.Budget
	// chosenSnapshot and chosenMap cache the choice of snapshot until choiceStale is set.
	chosenSnapshot ident.SnapshotID
	chosenMap      *snapshot.Map
	choiceStale    bool
	rangesBuf      []snapshot.Range
}

// A profile tracks the latency of one service or route.
type profile struct {
	latency retry.Latency
}

// expectedLatency returns the median latency or, while there are too few samples, the
// fastest one; 0 without any.
func (p *profile) expectedLatency(now ident.Instant) time.Duration {
	if median := p.latency.Median(now); median > 0 {
		return median
	}
	return p.latency.Fastest(now)
}

func newService(id ident.ServiceID) *service {
	return &service{id: id, shards: map[ident.ShardID]*shard{}, choiceStale: true}
}

// chooseSnapshot returns the snapshot for a new query and its shard map. While no replica
// has reported its snapshots, it returns 0 and the newest map.
func (s *service) chooseSnapshot(now ident.Instant) (ident.SnapshotID, *snapshot.Map) {
	if s.choiceStale {
		s.chosenSnapshot, s.chosenMap = snapshot.Choose(s.maps, func(id ident.ShardID) []snapshot.Range {
			s.rangesBuf = s.rangesBuf[:0]
			if sh := s.shards[id]; sh != nil {
				s.rangesBuf = sh.Held(now, s.rangesBuf)
			}
			return append([]snapshot.Range(nil), s.rangesBuf...)
		})
		s.choiceStale = false
	}
	if s.chosenMap == nil {
		return 0, s.maps.Newest()
	}
	return s.chosenSnapshot, s.chosenMap
}

// install updates the service to the view of control. It keeps the state of a replica
// whose ID and incarnation are unchanged. The VM's process started at started.
func (s *service) install(now, started ident.Instant, v *view.View, vs *view.Service, notices *replica.Notices) {
	s.maps = vs.Maps
	s.choiceStale = true
	s.hasQuota = vs.QuotaLimits.Set()
	s.distinctStarts = vs.DistinctStarts
	s.quota.SetLimits(vs.QuotaLimits, v.VMs)
	s.quota.Withhold(started)
	s.installRollout(vs.Rollout)
	if n := len(v.Preset.Classes); len(s.budgets) != n {
		s.budgets = make([]retry.Budget, max(n, 1))
	}
	known := map[ident.ReplicaID]*replica.State{}
	first := len(s.shards) == 0
	for _, sh := range s.shards {
		for _, r := range sh.Replicas {
			known[r.ID] = r
		}
		sh.Replicas = sh.Replicas[:0]
	}
	for i := range vs.Replicas {
		vr := &vs.Replicas[i]
		r := known[vr.ID]
		started := r == nil || r.Incarnation != vr.Incarnation
		if started {
			r = &replica.State{ID: vr.ID, Incarnation: vr.Incarnation}
			if notices.Departed(r.ID, r.Incarnation) {
				r.MarkDeparted(now)
			}
		}
		s.updateReplica(now, v, vs, vr, r)
		if until, ok := notices.HeldUntil(r.ID, r.Incarnation); started && ok && now < until {
			r.HoldUntil(until)
		}
		// A VM that has just started knows of no replica whether it has just started, too.
		if started && (!first || now < vr.ColdUntil) {
			r.BeginPace(now)
		}
		sh := s.shard(vr.Shard, v.Preset.QueueLength, len(v.Preset.Classes))
		sh.Replicas = append(sh.Replicas, r)
	}
	for _, sh := range s.shards {
		sh.queue.SetFloor(queueFloor(v))
	}
}

func (s *service) updateReplica(now ident.Instant, v *view.View, vs *view.Service, vr *view.Replica, r *replica.State) {
	r.Shard, r.Zone, r.Address = vr.Shard, vr.Zone, vr.Address
	r.Local = vr.Zone == v.Zone
	returned := r.Out && !vr.Out
	r.Out = vr.Out
	r.ColdUntil, r.Reserve = vr.ColdUntil, vr.Reserve
	s.markTarget(now, r, vr.Software)
	r.Shares = replica.Shares{
		Slots: vs.Slots, Connections: vs.Connections,
		VMs: v.VMs, Rank: vr.Rank, RampStep: v.Preset.RampStep, ColdRate: vs.ColdRate,
		MinInFlight: vs.MinInFlight, Paced: vs.Paced,
	}
	if vr.Slots > 0 {
		r.Shares.Slots = vr.Slots
	}
	if vr.Leaving {
		r.MarkLeaving(now)
	} else {
		r.ClearLeaving(now)
	}
	if returned {
		r.BeginRamp(now)
	}
	if vr.ColdMark != 0 {
		r.MarkCold(now, vr.ColdMark)
	}
}

// shard returns the shard with the ID and creates it on first use. Its queue has one level
// for each rank, and one behind them for deferred parts.
func (s *service) shard(id ident.ShardID, queueLength, ranks int) *shard {
	ranks++
	sh := s.shards[id]
	if sh == nil {
		sh = &shard{
			Shard: replica.Shard{ID: id},
			queue: container.NewFairQueue[flowID, queuedPart](queueLength, ranks),
		}
		s.shards[id] = sh
		s.shardOrder = append(s.shardOrder, id)
	}
	sh.queue.Resize(queueLength, ranks)
	return sh
}

func (s *service) budget(rank int) *retry.Budget {
	return &s.budgets[min(rank, len(s.budgets)-1)]
}
