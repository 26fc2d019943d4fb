// Package fleet starts whole deployments of stand-ins on loopback, with the
// settings of the entry VMs that serve them.
package fleet

import (
	"time"
)

// A ServiceSpec describes one service of stand-in upstreams.
type ServiceSpec struct {
	Name   string
	Shards int
	// Replicas serve each shard, spread over the zones in turn.
	Replicas       int
	Slots          int
	Connections    int
	ConnectionCost time.Duration
	ServiceTime    time.Duration
	// SlowShare of the requests are slow.
	SlowShare float64
}

// A Spec describes a deployment.
type Spec struct {
	Deployment string
	Zones      []string
	Services   []ServiceSpec
	// VMs is the number of entry VMs, spread over the zones in turn.
	VMs  int
	Seed uint64
}

const (
	shardedSlots       = 4
	shardedConnections = 35
	shardedCost        = 6 * time.Millisecond
	deskCost           = time.Millisecond
	shardedTime        = 5 * time.Millisecond
	deskTime           = 8 * time.Millisecond
)

func sharded(name string, shards int) ServiceSpec {
	return ServiceSpec{
		Name: name, Shards: shards, Replicas: 3, Slots: shardedSlots,
		Connections: shardedConnections, ConnectionCost: shardedCost, ServiceTime: shardedTime,
	}
}

func desk(name string, replicas, slots, connections int) ServiceSpec {
	return ServiceSpec{
		Name: name, Shards: 1, Replicas: replicas, Slots: slots,
		Connections: connections, ConnectionCost: deskCost, ServiceTime: deskTime,
	}
}

// Association returns the deployment of the school lunch carriers.
func Association() Spec {
	return Spec{
		Deployment: "association", VMs: 3, Seed: 1,
		Zones: []string{"windhoek-north", "windhoek-south", "okahandja"},
		Services: []ServiceSpec{
			sharded("route-planner", 10), sharded("school-portal", 15),
			desk("kitchen-desk", 13, 6, 100), desk("billing-office", 6, 6, 100),
		},
	}
}

// Karaoke returns the deployment of the karaoke division.
func Karaoke() Spec {
	return Spec{
		Deployment: "karaoke", VMs: 4, Seed: 2,
		Zones: []string{"zh-altstetten", "zh-oerlikon", "winterthur", "baden"},
		Services: []ServiceSpec{
			sharded("slotfinder", 10), sharded("songbook", 15),
			desk("frontdesk", 23, 3, 40), desk("bartab", 11, 3, 40),
		},
	}
}
