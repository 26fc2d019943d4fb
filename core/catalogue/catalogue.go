// Package catalogue stores what discovery and the operators report about
// upstreams: the routes and services of the newest configuration, the replicas,
// and the availability zones that are out of service. It decides which reports
// take effect.
package catalogue

import (
	"maps"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/tenant"
	"carawaycross.example/carawaycross/core/view"
)

// A Replica is the entry that a replica publishes about itself.
type Replica struct {
	ID      ident.ReplicaID
	Service ident.ServiceID
	Zone    ident.ZoneID
	Address string
	// Incarnation distinguishes successive processes with the same ID; 0 if not
	// reported.
	Incarnation ident.Incarnation
	// Software is the version of the software that the replica runs.
	Software ident.Software
	// Slots is the number of requests that the replica processes concurrently.
	Slots int
	// Leaving is true once the replica accepts no new requests.
	Leaving bool
	// ColdUntil is the time at which the replica expects to be warm; 0 when it is
	// warm.
	ColdUntil ident.Instant
}

// A Change is one change of a replica's entry. With Deleted set, only the ID is
// used.
type Change struct {
	Replica
	Deleted bool
}

// A Service holds the settings that all replicas of a service share.
type Service struct {
	ID ident.ServiceID
	// Connections is the number of connections that one replica accepts from all
	// clients together.
	Connections int
	// ColdRate limits the requests to a cold replica; 0 for no limit.
	ColdRate ident.Rate
}

// A Configuration is one version of the operators' configuration of routes.
type Configuration struct {
	Version  ident.RoutesVersion
	Routes   []route.Route
	Services []Service
	Limits   route.Limits
	// Tenants is empty if requests need no key.
	Tenants []tenant.Tenant
}

// absenceGracePeriod is how long an entry that expired during an outage of the
// store may be missing after the store is available again. The platform specifies
// about two seconds; another half second covers the delivery to this VM.
const absenceGracePeriod = 2500 * time.Millisecond

// A Catalogue holds the routes, services and replicas used by one VM. The zero
// value is empty.
type Catalogue struct {
	// configuration.Version never decreases.
	configuration Configuration
	table         *route.Table
	tenants       *tenant.Table
	replicas      map[ident.ReplicaID]Replica
	// absentUntil maps each entry that was missing when the store became available
	// again to the time at which it is removed.
	absentUntil   map[ident.ReplicaID]ident.Instant
	reconnectedAt ident.Instant
	unavailable   bool
	// restoredAt is when the store came back from a copy; 0 if it never did.
	restoredAt ident.Instant
	zonesOut   map[ident.ZoneID]bool
	// zonesAbsentUntil maps each zone whose entry was missing after the store came back from
	// a copy to the time at which the zone is back in service.
	zonesAbsentUntil map[ident.ZoneID]ident.Instant
	listReceived     bool
}

// Ready reports whether routes and the list of replicas have been received.
func (c *Catalogue) Ready() bool { return c.table != nil && c.listReceived }

// Version returns the version of the routes; 0 before the first configuration.
func (c *Catalogue) Version() ident.RoutesVersion { return c.configuration.Version }

// Configure stores the configuration if its version is newer, and reports whether
// it is.
func (c *Catalogue) Configure(configuration Configuration) bool {
	if c.table != nil && configuration.Version <= c.configuration.Version {
		return false
	}
	c.configuration, c.table = configuration, route.NewTable(configuration.Routes)
	c.tenants = tenant.NewTable(configuration.Tenants)
	return true
}

// MarkUnavailable records that the list of replicas could not be read. It has no
// effect before the first list.
func (c *Catalogue) MarkUnavailable() { c.unavailable = c.listReceived }

// MarkRestored records that the store came back from a copy. Operators and replicas write
// again what it lost, so entries that are missing count for a grace period.
func (c *Catalogue) MarkRestored(now ident.Instant) { c.restoredAt, c.reconnectedAt = now, now }

// markAvailable records that the list of replicas can be read again.
func (c *Catalogue) markAvailable(now ident.Instant) {
	if c.unavailable {
		c.unavailable, c.reconnectedAt = false, now
	}
}

// inGracePeriod reports whether entries that are missing or deleted at now may
// have expired because of an outage of the store.
func (c *Catalogue) inGracePeriod(now ident.Instant) bool {
	return c.reconnectedAt != 0 && now < c.reconnectedAt.Add(absenceGracePeriod)
}

// ReplaceAll replaces all replicas by the list. Within the grace period it retains the
// entries that the list lacks.
func (c *Catalogue) ReplaceAll(now ident.Instant, list []Replica) {
	c.markAvailable(now)
	next := make(map[ident.ReplicaID]Replica, len(list))
	for _, r := range list {
		next[r.ID] = r
	}
	old := c.replicas
	c.replicas, c.listReceived = next, true
	for id, r := range old {
		if _, ok := next[id]; !ok && c.inGracePeriod(now) {
			c.retainAbsent(id, r)
		}
	}
	for _, r := range list {
		delete(c.absentUntil, r.ID)
	}
}

// Apply applies changes in the order in which they were made: the same batch may
// delete an entry and later put it again.
func (c *Catalogue) Apply(now ident.Instant, changes []Change) {
	c.markAvailable(now)
	for i := range changes {
		if changes[i].Deleted {
			c.remove(now, changes[i].ID)
		} else {
			c.put(changes[i].Replica)
		}
	}
}

func (c *Catalogue) put(r Replica) {
	if c.replicas == nil {
		c.replicas = map[ident.ReplicaID]Replica{}
	}
	c.replicas[r.ID] = r
	delete(c.absentUntil, r.ID)
}

func (c *Catalogue) remove(now ident.Instant, id ident.ReplicaID) {
	r, ok := c.replicas[id]
	switch {
	case !ok:
	case c.inGracePeriod(now) && !r.Leaving:
		c.retainAbsent(id, r)
	default:
		delete(c.replicas, id)
	}
}

// retainAbsent keeps a missing entry until the end of the grace period, unless the
// replica was leaving.
func (c *Catalogue) retainAbsent(id ident.ReplicaID, r Replica) {
	if r.Leaving {
		return
	}
	if c.absentUntil == nil {
		c.absentUntil = map[ident.ReplicaID]ident.Instant{}
	}
	c.replicas[id] = r
	c.absentUntil[id] = c.reconnectedAt.Add(absenceGracePeriod)
}

// Next returns the time at which Expire must be called next.
func (c *Catalogue) Next() ident.Instant {
	next := ident.Never
	for _, until := range c.absentUntil {
		next = min(next, until)
	}
	for _, until := range c.zonesAbsentUntil {
		next = min(next, until)
	}
	return next
}

// Expire removes the entries that are still missing at the end of their grace
// period, and reports whether it removed any.
func (c *Catalogue) Expire(now ident.Instant) bool {
	changed := false
	for id, until := range c.absentUntil {
		if now >= until {
			delete(c.absentUntil, id)
			delete(c.replicas, id)
			changed = true
		}
	}
	for zone, until := range c.zonesAbsentUntil {
		if now >= until {
			delete(c.zonesAbsentUntil, zone)
			delete(c.zonesOut, zone)
			changed = true
		}
	}
	return changed
}

// SetZonesOut replaces the set of zones that are out of service. After the store came back
// from a copy it retains the zones that the set lacks for the grace period.
func (c *Catalogue) SetZonesOut(now ident.Instant, zones []ident.ZoneID) {
	old, until := c.zonesOut, c.restoredAt.Add(absenceGracePeriod)
	c.zonesOut, c.zonesAbsentUntil = map[ident.ZoneID]bool{}, map[ident.ZoneID]ident.Instant{}
	for _, z := range zones {
		c.zonesOut[z] = true
	}
	if c.restoredAt == 0 || now >= until {
		return
	}
	for z := range old {
		if !c.zonesOut[z] {
			c.zonesOut[z], c.zonesAbsentUntil[z] = true, until
		}
	}
}

// ZonesOut returns the zones that are out of service, sorted.
func (c *Catalogue) ZonesOut() []ident.ZoneID { return slices.Sorted(maps.Keys(c.zonesOut)) }

// defaultConnections is the number of connections per replica for a service that
// the configuration does not contain.
const defaultConnections = 16

// minInFlight is the number of requests that a VM may have in flight at a replica
// even if its share of the slots is smaller: replicas queue a few requests, and a
// replica that refuses at random is not overloaded.
const minInFlight = 3

// AddTo adds the catalogue to a view. The function rank returns the position of
// this VM in the order of VMs for a replica.
func (c *Catalogue) AddTo(v *view.View, limits retry.QuotaLimits, rank func(ident.ReplicaID) int) {
	v.Routes, v.RoutesVersion, v.Limits = c.table, c.configuration.Version, c.configuration.Limits
	v.Tenants = c.tenants
	serviceIndex := make(map[ident.ServiceID]int, len(c.configuration.Services))
	for _, s := range c.configuration.Services {
		serviceIndex[s.ID] = len(v.Services)
		v.Services = append(v.Services, view.Service{
			ID: s.ID, Connections: s.Connections, QuotaLimits: limits, Paced: true, ColdRate: s.ColdRate,
			MinInFlight: minInFlight, DistinctStarts: true,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
		r := c.replicas[id]
		i, ok := serviceIndex[r.Service]
		if !ok {
			i = len(v.Services)
			serviceIndex[r.Service] = i
			v.Services = append(v.Services, view.Service{
				ID: r.Service, Connections: defaultConnections, QuotaLimits: limits, Paced: true, MinInFlight: minInFlight,
				DistinctStarts: true,
			})
		}
		s := &v.Services[i]
		s.Slots = max(s.Slots, r.Slots)
		s.Replicas = append(s.Replicas, view.Replica{
			ID: r.ID, Zone: r.Zone, Address: r.Address, Incarnation: r.Incarnation, Slots: r.Slots, Leaving: r.Leaving,
			Software: r.Software, ColdUntil: r.ColdUntil, Out: c.zonesOut[r.Zone], Rank: rank(r.ID),
		})
	}
}
