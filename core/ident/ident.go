// Package ident defines the named types for identifiers and units. All other
// packages use them; plain strings and numbers are converted only where data
// enters or leaves the process.
package ident

import "time"

type (
	// A ServiceID names a service that callers search or send bookings to.
	ServiceID string
	// A RouteID names a route in the operators' configuration.
	RouteID string
	// A RoutesVersion numbers a version of the routes; it increases monotonically.
	RoutesVersion uint64
	// A ShardID numbers a shard within its service.
	ShardID uint32
	// A ReplicaID names one upstream process that serves one shard.
	ReplicaID string
	// A Software names a version of the software that a replica runs.
	Software string
	// A VMID names an entry VM.
	VMID string
	// A ZoneID names an availability zone.
	ZoneID string
	// A TenantID names a caller organisation or application.
	TenantID string
	// A KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are not
	// kept.
	KeyDigest [32]byte
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
	// A Version numbers an accepted configuration; it increases monotonically.
	Version uint32
	// An Incarnation numbers the runs of a VM or replica under one name; each
	// restart has a higher one.
	Incarnation uint64
)

// A Share is a fraction from 0 to 1.
type Share float64

// A Bytes is a size in bytes.
type Bytes int64

// A Rate is a number of events per second.
type Rate float64

// Tokens is a number of requests that a usage cap still allows, in whole requests and
// fractions of one.
type Tokens float64

// An Instant is a point in time, in nanoseconds since the Unix epoch or since the
// start of virtual time. Decision code receives it as a parameter and never reads a
// clock.
type Instant int64

// Never is later than any other Instant.
const Never Instant = 1<<63 - 1

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Time converts an Instant since the Unix epoch to a time.Time.
func (t Instant) Time() time.Time { return time.Unix(0, int64(t)) }

// FromTime converts a time.Time to an Instant since the Unix epoch.
func FromTime(t time.Time) Instant { return Instant(t.UnixNano()) }

// MaxSpan bounds the durations that other programs send.
const MaxSpan = 24 * time.Hour

// Span converts a number of units that another program sent to a duration from 0 to
// MaxSpan. A value that is not a number becomes 0. The result of converting a float
// that is too large for an integer differs between processors.
func Span(n float64, unit time.Duration) time.Duration {
	if !(n > 0) {
		return 0
	}
	return time.Duration(min(n, float64(MaxSpan/unit)) * float64(unit))
}
