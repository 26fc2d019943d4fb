package control

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
)

// fingerprintSubject returns the subject of the news about a crashing request.
func fingerprintSubject(f poison.Fingerprint) string {
	return strconv.FormatUint(uint64(f), 16)
}

// publish builds the view of the current state and queues its publication.
func (c *Core) publish(now ident.Instant) {
	c.viewStale = false
	self := c.roster.Self()
	v := &view.View{
		Self: self.VM, Incarnation: self.Incarnation, Zone: self.Zone,
		Version: c.configuration.Version,
	}
	if p := c.configuration.Current(); p != nil {
		v.Ready, v.Preset = now >= c.readyAt && (!c.config.Discovers || (c.catalogue.Ready() && c.vmsListed && c.ordersKnown(now))), *p
	}
	v.Out = c.configuration.ZoneIsOut(self.Zone) || c.configuration.VMIsOut(string(self.VM))
	v.VMs = len(c.updateRanks())
	leaving, cold := c.upstreamNews()
	v.Services = make([]view.Service, len(c.config.Services))
	for i, s := range c.config.Services {
		s.Replicas = append([]view.Replica(nil), s.Replicas...)
		for j := range s.Replicas {
			r := &s.Replicas[j]
			r.Out = c.configuration.ZoneIsOut(r.Zone) || c.configuration.VMIsOut(string(r.ID))
			r.Leaving = leaving[string(r.ID)]
			r.ColdMark = cold[string(r.ID)]
			r.Rank = c.ranks[i][j]
		}
		v.Services[i] = s
	}
	if c.config.Discovers {
		c.catalogue.AddTo(v, c.config.QuotaLimits, c.discoveredRank)
		c.markOut(v.Services[len(c.config.Services):])
		c.applyRollouts(now, v.Services[len(c.config.Services):])
		c.markReserves(v, v.Services[len(c.config.Services):])
	}
	if c.membersStale {
		c.membersStale = false
		c.members = c.viewMembers()
	}
	v.Members = c.members
	v.Poisoned = c.poisoned(now)
	c.actions = append(c.actions, Action{Kind: Publish, View: v})
}

// updateRanks returns the VMs that may be sending, and recomputes this VM's rank for
// each replica if they have changed. Restarts do not change them, so that the ranks
// are rarely recomputed in a large deployment.
func (c *Core) updateRanks() []ident.VMID {
	senders := c.roster.Senders()
	if c.ranks != nil && slices.Equal(senders, c.senders) {
		return senders
	}
	c.senders = senders
	order := roster.NewRendezvousOrder(c.config.Self.VM, senders)
	c.rendezvous, c.discoveredRanks = order, map[ident.ReplicaID]int{}
	c.assignments = assignments{}
	c.ranks = make([][]int, len(c.config.Services))
	for i, s := range c.config.Services {
		c.ranks[i] = make([]int, len(s.Replicas))
		for j := range s.Replicas {
			c.ranks[i][j] = order.Rank(string(s.Replicas[j].ID))
		}
	}
	return senders
}

// markOut marks the discovered replicas that operators keep out of service.
func (c *Core) markOut(services []view.Service) {
	for i := range services {
		for j := range services[i].Replicas {
			r := &services[i].Replicas[j]
			r.Out = r.Out || c.configuration.ZoneIsOut(r.Zone) || c.configuration.VMIsOut(string(r.ID))
		}
	}
}

// discoveredRank returns this VM's rendezvous rank for a discovered replica.
func (c *Core) discoveredRank(id ident.ReplicaID) int {
	rank, ok := c.discoveredRanks[id]
	if !ok {
		rank = c.rendezvous.Rank(string(id))
		c.discoveredRanks[id] = rank
	}
	return rank
}

// upstreamNews returns the replicas that are shutting down, and a mark for each
// that a VM found cold or lost. The mark is derived from the newest such item and
// is never 0.
func (c *Core) upstreamNews() (leaving map[string]bool, cold map[string]uint64) {
	leaving, cold = map[string]bool{}, map[string]uint64{}
	latest := map[string]news.Item{}
	for item := range c.news.All {
		switch item.Kind {
		case news.Leaving:
			leaving[item.Subject] = true
		case news.Cold, news.Lost:
			// A lost replica is cold when it returns.
			if old, ok := latest[item.Subject]; !ok || item.NewerThan(&old) {
				latest[item.Subject] = item
				cold[item.Subject] = item.Sequence ^ xxhash.Sum64String(string(item.Origin)) | 1
			}
		case news.Crash:
		}
	}
	return leaving, cold
}

// viewMembers returns the members of the roster without this VM.
func (c *Core) viewMembers() container.COW[ident.VMID, view.Member] {
	members := map[ident.VMID]view.Member{}
	for _, m := range c.roster.Members() {
		if m.VM == c.config.Self.VM {
			continue
		}
		members[m.VM] = view.Member{
			Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation, State: m.State.String(),
		}
	}
	return container.NewCOW(members)
}

// poisoned returns the requests that crashed upstreams at least poison.Threshold
// times over all VMs, with the time until which they are refused.
func (c *Core) poisoned(now ident.Instant) container.COW[poison.Fingerprint, ident.Instant] {
	count := map[string]int{}
	until := map[string]ident.Instant{}
	for item := range c.news.All {
		if item.Kind == news.Crash && item.Expires > now {
			count[item.Subject] += item.Count
			until[item.Subject] = max(until[item.Subject], item.Expires)
		}
	}
	refused := map[poison.Fingerprint]ident.Instant{}
	for subject, n := range count {
		f, err := strconv.ParseUint(subject, 16, 64)
		if err == nil && n >= poison.Threshold {
			refused[poison.Fingerprint(f)] = until[subject]
		}
	}
	return container.NewCOW(refused)
}
