package rollout

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// unknownTime is how long a version without an order gets nothing beside established
	// ones. An order is read within that time.
	unknownTime = 10 * time.Second
	// replacementTime is the time between the departure of a replica and the start of the
	// one that replaces it, either way.
	replacementTime = 30 * time.Second
)

// A Listed is a replica in the list of a service.
type Listed struct {
	Software ident.Software
	// Leaving is true once the replica accepts no requests.
	Leaving bool
	// Slots is the number of requests that the replica processes at once.
	Slots int
	// ColdUntil is when the replica expects to be warm.
	ColdUntil ident.Instant
}

// Versions decides which versions of one service get requests. A version is established if
// it was there first, if an order for it was completed, or if it replaces established
// replicas without an order: one of them has left within replacementTime, none is left, or
// no order has named the version within unknownTime. A version that was rolled back, whose
// order was withdrawn, or that a completed order replaced, stays barred while any of its
// replicas is listed. The zero value has no versions.
type Versions struct {
	established, barred map[ident.Software]bool
	firstSeen           map[ident.Software]ident.Instant
	// inService is the number of replicas of established versions in service at the last
	// Update, departedAt when it last fell.
	inService  int
	departedAt ident.Instant
	departed   bool
	begun      bool
}

// Bar bars a version.
func (v *Versions) Bar(s ident.Software) {
	v.init()
	v.barred[s] = true
	delete(v.established, s)
}

// Establish establishes a version. With barOthers set, it bars all others that were
// established, and returns them.
func (v *Versions) Establish(s ident.Software, barOthers bool) (barred []ident.Software) {
	v.init()
	if barOthers {
		for other := range v.established {
			if other != s {
				v.Bar(other)
				barred = append(barred, other)
			}
		}
	}
	delete(v.barred, s)
	v.established[s] = true
	v.begun = true
	return barred
}

func (v *Versions) init() {
	if v.established == nil {
		v.established, v.barred = map[ident.Software]bool{}, map[ident.Software]bool{}
		v.firstSeen = map[ident.Software]ident.Instant{}
	}
}

// Update processes the list of replicas. The version that an order in progress names is its
// target; it is not established. Update returns when it must be called again.
func (v *Versions) Update(now ident.Instant, list []Listed, target ident.Software, ordered bool) (next ident.Instant) {
	v.init()
	if ordered {
		delete(v.established, target)
		delete(v.barred, target)
	}
	present, inService := map[ident.Software]bool{}, map[ident.Software]int{}
	for i := range list {
		present[list[i].Software] = true
		if !list[i].Leaving {
			inService[list[i].Software]++
		}
	}
	v.forget(present)
	established := 0
	for s := range v.established {
		established += inService[s]
	}
	if established < v.inService {
		v.departedAt, v.departed = now, true
	}
	next = ident.Never
	first := !v.begun && len(present) > 0
	for s := range present {
		if v.established[s] || v.barred[s] || (ordered && s == target) {
			continue
		}
		if _, seen := v.firstSeen[s]; !seen {
			v.firstSeen[s] = now
		}
		replaces := v.departed && v.departedAt.Add(replacementTime) >= v.firstSeen[s]
		if first || established == 0 || replaces || now >= v.firstSeen[s].Add(unknownTime) {
			v.established[s] = true
			delete(v.firstSeen, s)
			continue
		}
		next = min(next, v.firstSeen[s].Add(unknownTime))
	}
	v.begun = v.begun || len(v.established) > 0
	v.inService = 0
	for s := range v.established {
		v.inService += inService[s]
	}
	return next
}

// forget removes the versions without a listed replica, but for established ones: a service
// without replicas keeps them.
func (v *Versions) forget(present map[ident.Software]bool) {
	for s := range v.barred {
		if !present[s] {
			delete(v.barred, s)
		}
	}
	for s := range v.firstSeen {
		if !present[s] {
			delete(v.firstSeen, s)
		}
	}
	gone := 0
	for s := range v.established {
		if !present[s] {
			gone++
		}
	}
	if gone < len(v.established) {
		for s := range v.established {
			if !present[s] {
				delete(v.established, s)
			}
		}
	}
}

// Admits reports whether a version gets requests without being the target of an order.
func (v *Versions) Admits(s ident.Software) bool { return v.established[s] }
