// Package catalogue holds what discovery and the operators tell of upstreams:
// the routes and services of the newest configuration, the replicas, and the
// availability zones that get no work. It decides what of it is believed.
package catalogue

import (
	"maps"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/view"
)

// A Replica is a replica's own entry.
type Replica struct {
	ID      ident.ReplicaID
	Service ident.ServiceID
	Zone    ident.ZoneID
	Address string
	// Incarnation tells the lives of a replica under one ID apart; 0 if untold.
	Incarnation ident.Incarnation
	// Slots is the number of requests that it processes at once.
	Slots int
	// Leaving is true once it takes no new work.
	Leaving bool
	// ColdUntil is when it says that it is warm; 0 for warm.
	ColdUntil ident.Instant
}

// A Change is one change of a replica's entry; with Ended set only the ID counts.
type Change struct {
	Replica
	Deleted bool
}

// A Service is what the replicas of a service have in common.
type Service struct {
	ID ident.ServiceID
	// Connections to one replica, of all clients together.
	Connections int
	// ColdRate is what a cold replica bears; 0 for no bound.
	ColdRate ident.Rate
}

// A Configuration is one version of what operators say of routes.
type Configuration struct {
	Version  ident.RoutesVersion
	Routes   []route.Route
	Services []Service
	Limits   route.Limits
}

// absentHold is how long an entry that lapsed while the store was away may be
// missing after the store's return. The platform says about two seconds; half a
// second more covers the way here.
const absentHold = 2500 * time.Millisecond

// A Catalogue is one VM's catalogue. The zero value is empty.
type Catalogue struct {
	// Version never falls.
	configuration Configuration
	table         *route.Table
	replicas      map[ident.ReplicaID]Replica
	// Absent holds the entries that were missing at the store's return, and
	// until when they are still believed.
	absent   map[ident.ReplicaID]ident.Instant
	returned ident.Instant
	away     bool
	zonesOut map[ident.ZoneID]bool
	listed   bool
}

// Ready reports whether routes and replicas are known.
func (b *Catalogue) Ready() bool { return b.table != nil && b.listed }

// Version returns the version of the routes; 0 without any.
func (b *Catalogue) Version() ident.RoutesVersion { return b.configuration.Version }

// Configure takes a configuration and reports whether it is newer.
func (b *Catalogue) Configure(c Configuration) bool {
	if b.table != nil && c.Version <= b.configuration.Version {
		return false
	}
	b.configuration, b.table = c, route.NewTable(c.Routes)
	return true
}

// MarkUnavailable notes that the list of replicas could not be read.
func (b *Catalogue) MarkUnavailable() { b.away = b.listed }

// back notes that the list can be read again.
func (b *Catalogue) back(now ident.Instant) {
	if b.away {
		b.away, b.returned = false, now
	}
}

func (b *Catalogue) holding(now ident.Instant) bool {
	return b.returned != 0 && now < b.returned.Add(absentHold)
}

// List takes the whole list of replicas.
func (b *Catalogue) List(now ident.Instant, list []Replica) {
	b.back(now)
	next := make(map[ident.ReplicaID]Replica, len(list))
	for _, r := range list {
		next[r.ID] = r
	}
	old := b.replicas
	b.replicas, b.listed = next, true
	for id, r := range old {
		if _, ok := next[id]; !ok && b.holding(now) {
			b.hold(id, r)
		}
	}
	for _, r := range list {
		delete(b.absent, r.ID)
	}
}

// Apply takes changes in the order in which they were made: an entry that ended
// may come back later in the same batch.
func (b *Catalogue) Apply(now ident.Instant, changes []Change) {
	b.back(now)
	for i := range changes {
		if changes[i].Deleted {
			b.remove(now, changes[i].ID)
		} else {
			b.put(changes[i].Replica)
		}
	}
}

func (b *Catalogue) put(r Replica) {
	if b.replicas == nil {
		b.replicas = map[ident.ReplicaID]Replica{}
	}
	b.replicas[r.ID] = r
	delete(b.absent, r.ID)
}

func (b *Catalogue) remove(now ident.Instant, id ident.ReplicaID) {
	r, ok := b.replicas[id]
	switch {
	case !ok:
	case b.holding(now) && !r.Leaving:
		b.hold(id, r)
	default:
		delete(b.replicas, id)
	}
}

func (b *Catalogue) hold(id ident.ReplicaID, r Replica) {
	if r.Leaving {
		return
	}
	if b.absent == nil {
		b.absent = map[ident.ReplicaID]ident.Instant{}
	}
	b.replicas[id] = r
	b.absent[id] = b.returned.Add(absentHold)
}

// Next returns when Expire is due next.
func (b *Catalogue) Next() ident.Instant {
	next := ident.Never
	for _, until := range b.absent {
		next = min(next, until)
	}
	return next
}

// Expire drops the entries that stayed missing, and reports whether any did.
func (b *Catalogue) Expire(now ident.Instant) bool {
	changed := false
	for id, until := range b.absent {
		if now >= until {
			delete(b.absent, id)
			delete(b.replicas, id)
			changed = true
		}
	}
	return changed
}

// SetZonesOut takes the zones that get no work.
func (b *Catalogue) SetZonesOut(zones []ident.ZoneID) {
	b.zonesOut = map[ident.ZoneID]bool{}
	for _, z := range zones {
		b.zonesOut[z] = true
	}
}

// ZonesOut returns the zones that get no work, in order.
func (b *Catalogue) ZonesOut() []ident.ZoneID { return slices.Sorted(maps.Keys(b.zonesOut)) }

// unknownConnections is assumed of a service that the configuration lacks.
const unknownConnections = 16

// leastPlaces lets a VM have a few requests at a replica whatever its share of the
// slots: replicas queue a few, and one that refuses at random is not overloaded.
const leastPlaces = 3

// rampStep ends the ramp of a replica after a loss at once: what it bears while
// cold is metered by its own rate.
const rampStep = time.Millisecond

// AddTo adds the catalogue to a view. Rank tells this VM's place in the order of
// a replica.
func (b *Catalogue) AddTo(v *view.View, terms retry.QuotaLimits, rank func(ident.ReplicaID) int) {
	v.Routes, v.RoutesVersion, v.Limits = b.table, b.configuration.Version, b.configuration.Limits
	at := make(map[ident.ServiceID]int, len(b.configuration.Services))
	for _, s := range b.configuration.Services {
		at[s.ID] = len(v.Services)
		v.Services = append(v.Services, view.Service{
			ID: s.ID, Connections: s.Connections, Terms: terms, RampStep: rampStep, ColdRate: s.ColdRate,
			MinInFlight: leastPlaces,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(b.replicas)) {
		r := b.replicas[id]
		i, ok := at[r.Service]
		if !ok {
			i = len(v.Services)
			at[r.Service] = i
			v.Services = append(v.Services, view.Service{
				ID: r.Service, Connections: unknownConnections, Terms: terms, RampStep: rampStep, MinInFlight: leastPlaces,
			})
		}
		s := &v.Services[i]
		s.Slots = max(s.Slots, r.Slots)
		s.Replicas = append(s.Replicas, view.Replica{
			ID: r.ID, Zone: r.Zone, Address: r.Address, Born: r.Incarnation, Slots: r.Slots, Leaving: r.Leaving,
			ColdUntil: r.ColdUntil, Out: b.zonesOut[r.Zone], Rank: rank(r.ID),
		})
	}
}
