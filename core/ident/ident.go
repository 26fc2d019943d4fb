// Package ident defines the named types for identities and units. Every other
// package uses them; conversions from plain strings and numbers happen only at
// the edge.
package ident

import "time"

type (
	// A ServiceID names a service that callers search or book.
	ServiceID string
	// A RouteID names a route of the operators' configuration.
	RouteID string
	// A RoutesVersion numbers a version of the routes; it only grows.
	RoutesVersion uint64
	// A ShardID numbers a shard within its service.
	ShardID uint32
	// A ReplicaID names one upstream process that serves one shard.
	ReplicaID string
	// A VMID names an entry VM.
	VMID string
	// A ZoneID names an availability zone.
	ZoneID string
	// A TenantID names a caller organisation or application.
	TenantID string
	// A ClassID names a priority class of requests.
	ClassID string
	// A PresetName names a preset.
	PresetName string
	// A RequestKey identifies a request that may run at most once.
	RequestKey string
	// A QueryID numbers a query within one process.
	QueryID uint64
	// An AttemptID numbers an attempt within one process.
	AttemptID uint64
	// A SnapshotID numbers a snapshot of a service's records; 0 means none.
	SnapshotID uint32
	// A MapVersion numbers a version of a service's shard map.
	MapVersion uint32
	// A Version numbers an accepted state of the configuration; it only grows.
	Version uint32
	// An Incarnation numbers a life of a VM; a restart has a higher one.
	Incarnation uint64
)

// A Share is a fraction from 0 to 1.
type Share float64

// A Rate is a number of events per second.
type Rate float64

// An Instant is a point in time in nanoseconds since the Unix epoch, or since
// the start of virtual time. Decision code receives it and never reads a clock.
type Instant int64

// Never is later than every other Instant.
const Never Instant = 1<<63 - 1

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Time returns t as a wall clock time.
func (t Instant) Time() time.Time { return time.Unix(0, int64(t)) }

// FromTime returns the Instant of a wall clock time.
func FromTime(t time.Time) Instant { return Instant(t.UnixNano()) }
