package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// departureMemory is how long a replica that said it is leaving is remembered after
	// its last reply. It is longer than any replica takes to leave.
	departureMemory = 10 * time.Minute
	// maxNotices limits the replicas that are remembered: more than a deployment has.
	maxNotices = 1 << 17
)

// A notice is what one process of a replica said of itself.
type notice struct {
	incarnation ident.Incarnation
	// isDeparture reports whether the process said that it is leaving, last at departedAt.
	isDeparture bool
	departedAt  ident.Instant
	// heldUntil is when the hold that the process asked for ends; zero if it asked for none.
	heldUntil ident.Instant
}

func (n *notice) isExpired(now ident.Instant) bool {
	return now >= n.heldUntil && (!n.isDeparture || now.Sub(n.departedAt) > departureMemory)
}

// Notices remembers what replicas said of themselves, also while no report lists them: that
// they are leaving, and until when they want no requests. A later incarnation of a replica
// is not concerned. The zero value is empty.
type Notices struct {
	// byID holds at most maxNotices.
	byID map[ident.ReplicaID]notice
}

// RecordDeparture records that a replica said it is leaving.
func (n *Notices) RecordDeparture(now ident.Instant, id ident.ReplicaID, incarnation ident.Incarnation) {
	n.record(now, id, incarnation, func(known *notice) { known.isDeparture, known.departedAt = true, now })
}

// RecordHold records that a replica wants no requests until a later time.
func (n *Notices) RecordHold(now ident.Instant, id ident.ReplicaID, incarnation ident.Incarnation, until ident.Instant) {
	n.record(now, id, incarnation, func(known *notice) { known.heldUntil = max(known.heldUntil, until) })
}

func (n *Notices) record(now ident.Instant, id ident.ReplicaID, incarnation ident.Incarnation, change func(*notice)) {
	if n.byID == nil {
		n.byID = map[ident.ReplicaID]notice{}
	}
	known, ok := n.byID[id]
	if !ok && len(n.byID) >= maxNotices {
		if n.Expire(now); len(n.byID) >= maxNotices {
			return
		}
	}
	if known.incarnation != incarnation {
		known = notice{incarnation: incarnation}
	}
	change(&known)
	n.byID[id] = known
}

// Departed reports whether the given incarnation of a replica said that it is leaving.
func (n *Notices) Departed(id ident.ReplicaID, incarnation ident.Incarnation) bool {
	known, ok := n.byID[id]
	return ok && known.incarnation == incarnation && known.isDeparture
}

// HeldUntil returns until when the given incarnation of a replica wants no requests, or
// false if it asked for no hold that is remembered.
func (n *Notices) HeldUntil(id ident.ReplicaID, incarnation ident.Incarnation) (ident.Instant, bool) {
	known, ok := n.byID[id]
	return known.heldUntil, ok && known.incarnation == incarnation && known.heldUntil > 0
}

// Expire forgets holds that have ended, and replicas whose last reply that they are leaving
// is older than departureMemory.
func (n *Notices) Expire(now ident.Instant) {
	for id, known := range n.byID {
		if known.isExpired(now) {
			delete(n.byID, id)
		}
	}
}
