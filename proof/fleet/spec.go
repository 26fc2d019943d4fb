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
	// Replicas is the number of replicas of each shard, spread over the zones round
	// robin.
	Replicas       int
	Slots          int
	Connections    int
	ConnectionCost time.Duration
	ServiceTime    time.Duration
	// SlowShare is the share, from 0 to 1, of slow requests.
	SlowShare float64
}

// A Spec describes a deployment.
type Spec struct {
	Deployment string
	Zones      []string
	Services   []ServiceSpec
	// VMs is the number of entry VMs, spread over the zones round robin.
	VMs  int
	Seed uint64
}

const (
	shardedSlots            = 4
	shardedConnections      = 35
	shardedConnectionCost   = 6 * time.Millisecond
	unshardedConnectionCost = time.Millisecond
	shardedServiceTime      = 5 * time.Millisecond
	unshardedServiceTime    = 8 * time.Millisecond
)

func shardedService(name string, shards int) ServiceSpec {
	return ServiceSpec{
		Name: name, Shards: shards, Replicas: 3, Slots: shardedSlots,
		Connections: shardedConnections, ConnectionCost: shardedConnectionCost, ServiceTime: shardedServiceTime,
	}
}

func unshardedService(name string, replicas, slots, connections int) ServiceSpec {
	return ServiceSpec{
		Name: name, Shards: 1, Replicas: replicas, Slots: slots,
		Connections: connections, ConnectionCost: unshardedConnectionCost, ServiceTime: unshardedServiceTime,
	}
}

// Association returns the deployment of the school lunch carriers.
func Association() Spec {
	return Spec{
		Deployment: "association", VMs: 3, Seed: 1,
		Zones: []string{"windhoek-north", "windhoek-south", "okahandja"},
		Services: []ServiceSpec{
			shardedService("route-planner", 10), shardedService("school-portal", 15),
			unshardedService("kitchen-desk", 13, 6, 100), unshardedService("billing-office", 6, 6, 100),
		},
	}
}

// Karaoke returns the deployment of the karaoke division.
func Karaoke() Spec {
	return Spec{
		Deployment: "karaoke", VMs: 4, Seed: 2,
		Zones: []string{"zh-altstetten", "zh-oerlikon", "winterthur", "baden"},
		Services: []ServiceSpec{
			shardedService("slotfinder", 10), shardedService("songbook", 15),
			unshardedService("frontdesk", 23, 3, 40), unshardedService("bartab", 11, 3, 40),
		},
	}
}
