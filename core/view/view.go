// Package view defines the immutable snapshot of the control state that the
// request-processing goroutines read. The control goroutine publishes a new one
// after each change.
package view

import (
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/snapshot"
	"carawaycross.example/carawaycross/core/tenant"
)

// A Replica is the control state of one upstream replica.
type Replica struct {
	ID      ident.ReplicaID
	Shard   ident.ShardID
	Zone    ident.ZoneID
	Address string
	// Out is true while operators keep its zone or VM out of service.
	Out bool
	// Leaving is true while any source reports that the replica is shutting down.
	Leaving bool
	// ColdMark identifies the latest news that the replica is cold, 0 without
	// any. Each new value starts one ramp.
	ColdMark uint64
	// Rank is this VM's position in the replica's rendezvous order, from 0.
	Rank int
	// Software is the version of the software that the replica runs; empty if not
	// reported.
	Software ident.Software
	// Reserve is true if this VM may use the replica only while no other one of the service
	// is sound, and keeps no connection to it, because the replica accepts fewer connections
	// than there are VMs.
	Reserve bool
	// Slots overrides Service.Slots for this replica unless 0.
	Slots int
	// Incarnation distinguishes successive processes of the replica under one ID; 0
	// if not reported.
	Incarnation ident.Incarnation
	// ColdUntil is when the replica expects to be warm; 0 if not reported.
	ColdUntil ident.Instant
}

// A Service is one service and its replicas.
type Service struct {
	ID ident.ServiceID
	// Slots is the number of requests that one replica processes at once, and
	// Connections the number of connections to it, over all VMs.
	Slots, Connections int
	Maps               snapshot.Maps
	Replicas           []Replica
	// QuotaLimits limit the retries and hedges of all VMs together. If unset, the limits
	// of the preset apply.
	QuotaLimits retry.QuotaLimits
	// Paced is true if the load on a replica that started or recovered rises as its replies
	// allow, and not by the preset's RampStep.
	Paced bool
	// MinInFlight is the number of requests that a VM may have in flight at a
	// replica even if its share of the slots is smaller; 0 for no minimum.
	MinInFlight int
	// DistinctStarts is true if each start of a replica has an ID or an incarnation of
	// its own.
	DistinctStarts bool
	// Rollout is the order that moves the service to another version of its software; nil
	// without one in progress.
	Rollout *rollout.Plan
	// ColdRate is the request rate that a cold replica tolerates over all VMs; 0 for
	// no limit.
	ColdRate ident.Rate
}

// A Member is another VM, to which requests may be forwarded.
type Member struct {
	Zone        ident.ZoneID
	Address     string
	Incarnation ident.Incarnation
	State       string
}

// A View is a snapshot of the control state. It is not modified after
// publication.
type View struct {
	Self        ident.VMID
	Incarnation ident.Incarnation
	Zone        ident.ZoneID
	// Version is the version of the configuration in force. It never decreases
	// from one View to the next.
	Version ident.Version
	// Ready is true once this VM may serve: a configuration is in force, routes,
	// replicas and the list of VMs are available if they come from discovery, and the
	// wait for peers has ended.
	Ready bool
	// Out is true while operators keep this VM or its zone out of service.
	Out    bool
	Preset preset.Preset
	// VMs is the number of VMs that may be sending to upstreams, at least 1.
	VMs      int
	Services []Service
	// Routes maps callers' requests to upstreams; nil without routes. A request
	// uses the same table from start to end.
	Routes *route.Table
	// RoutesVersion is the version of Routes. It never decreases.
	RoutesVersion ident.RoutesVersion
	// Limits restrict the requests that callers may send.
	Limits route.Limits
	// Tenants holds the keys that requests need; nil if they need none.
	Tenants *tenant.Table
	Members container.COW[ident.VMID, Member]
	// Poisoned maps each request that crashes upstreams to the end of its refusal.
	Poisoned container.COW[poison.Fingerprint, ident.Instant]
}
