// Package view holds the immutable view of the control state that traffic
// reads. The control goroutine publishes a new one for each change.
package view

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/snapshot"
)

// A Replica is what control knows of one replica.
type Replica struct {
	ID      ident.ReplicaID
	Shard   ident.ShardID
	Zone    ident.ZoneID
	Address string
	// Out is true while operators keep its zone or VM out.
	Out bool
	// Leaving is true while anyone says that it is leaving.
	Leaving bool
	// ColdMark identifies the last news that the replica is cold; 0 for none.
	ColdMark uint64
	// Rank is this VM's place in the replica's rendezvous order.
	Rank int
	// Slots is the replica's own total where it differs; 0 for the service's.
	Slots int
	// Born tells the lives of a replica under one ID apart; 0 if untold.
	Born ident.Incarnation
	// ColdUntil is when the replica says that it is warm; 0 if untold.
	ColdUntil ident.Instant
}

// A Service is one service and its replicas.
type Service struct {
	ID ident.ServiceID
	// Slots and Connections are the totals of one replica.
	Slots, Connections int
	Maps               snapshot.Maps
	Replicas           []Replica
	// Terms bound the extra attempts of all VMs; unset, the preset does.
	Terms retry.QuotaLimits
	// RampStep replaces the preset's; 0 for the preset's.
	RampStep time.Duration
	// MinInFlight is the least that a VM may have in flight at a replica; 0 for its
	// fair share of the slots.
	MinInFlight int
	// ColdRate is what a cold replica bears over all VMs; 0 for no bound.
	ColdRate ident.Rate
}

// A Member is another VM that requests may be forwarded to.
type Member struct {
	Zone        ident.ZoneID
	Address     string
	Incarnation ident.Incarnation
	State       string
}

// A View is one state of control. It is never written after publication.
type View struct {
	Self        ident.VMID
	Incarnation ident.Incarnation
	Zone        ident.ZoneID
	// Version is the configuration's; it never falls from one View to the next.
	Version ident.Version
	// Ready is false until a configuration is known.
	Ready bool
	// Out is true while operators keep this VM or its zone out.
	Out    bool
	Preset preset.Preset
	// VMs counts the VMs that may be sending to upstreams; at least 1.
	VMs      int
	Services []Service
	// Routes are where callers' requests go; nil without routes. A request
	// keeps the table's version that it began with.
	Routes *route.Table
	// RoutesVersion is the version of Routes; it never falls.
	RoutesVersion ident.RoutesVersion
	// Limits bound what callers may send.
	Limits   route.Limits
	Members  container.COW[ident.VMID, Member]
	Poisoned container.COW[poison.Fingerprint, ident.Instant]
}
