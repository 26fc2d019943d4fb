// Package view holds the immutable view of the control state that traffic
// reads. The control goroutine publishes a new one for each change.
package view

import (
	"carawaycross.example/carawaycross/container"
	"carawaycross.example/carawaycross/ident"
	"carawaycross.example/carawaycross/poison"
	"carawaycross.example/carawaycross/preset"
	"carawaycross.example/carawaycross/snapshot"
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
}

// A Service is one service and its replicas.
type Service struct {
	ID ident.ServiceID
	// Slots and Connections are the totals of one replica.
	Slots, Connections int
	Maps               snapshot.Maps
	Replicas           []Replica
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
	Members  container.COW[ident.VMID, Member]
	Poisoned container.COW[poison.Fingerprint, ident.Instant]
}
