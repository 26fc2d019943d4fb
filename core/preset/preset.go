// Package preset defines presets: named sets of operating parameters for ordinary
// operation, load peaks and maintenance. Exactly one preset is in force at any
// time.
package preset

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Preset is a named set of operating parameters. It is immutable once accepted.
type Preset struct {
	Name ident.PresetName
	// DefaultDeadline applies to requests without a deadline; it is at most
	// LongestDeadline.
	DefaultDeadline time.Duration
	LongestDeadline time.Duration
	// WantedCoverage is the coverage at which a query stops hedging; 1 requires
	// every shard.
	WantedCoverage ident.Share
	// LeastCoverage is the coverage below which a query is refused.
	LeastCoverage ident.Share
	// ExtraShare limits the sum of hedges and retries, as a share of first
	// attempts.
	ExtraShare ident.Share
	// FaultExtraShare is the same limit while attempts fail; it is at least
	// ExtraShare.
	FaultExtraShare ident.Share
	// HedgeQuantile is the quantile of the latency after which a hedge starts.
	HedgeQuantile ident.Share
	// AttemptsPerShard limits the attempts per shard, including the first one.
	AttemptsPerShard int
	// RampStep is the time between two steps of the ramp of a cold replica.
	RampStep time.Duration
	// QueueLength limits the attempts that wait for one shard.
	QueueLength int
	// QueriesInFlight limits the admitted queries of one VM.
	QueriesInFlight int
	// Classes are ordered by descending priority.
	Classes []ident.ClassID
}

// Rank returns the priority of a class, where 0 is the highest. An unknown class
// has the lowest.
func (p *Preset) Rank(class ident.ClassID) int {
	if i := slices.Index(p.Classes, class); i >= 0 {
		return i
	}
	return max(len(p.Classes)-1, 0)
}

// Limits of the values in a preset.
const (
	MinDeadline        = time.Millisecond
	MaxDeadline        = time.Minute
	MaxAttempts        = 4
	MaxExtraShare      = 0.10
	MaxRampStep        = time.Minute
	MaxQueueLength     = 10_000
	MaxQueriesInFlight = 100_000
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	Invalid Kind = "invalid"
	Unknown Kind = "unknown"
)

// An Error is a failed operation on presets.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("preset: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Check returns an error that names each field that is out of range, or nil.
func (p *Preset) Check() error {
	var errs []error
	inRange := func(field string, v, low, high any, ok bool) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: found %v, allowed %v to %v", field, v, low, high))
		}
	}
	share := func(field string, v, high ident.Share) {
		inRange(field, v, 0, high, v >= 0 && v <= high)
	}
	duration := func(field string, v, low, high time.Duration) {
		inRange(field, v, low, high, v >= low && v <= high)
	}
	count := func(field string, v, low, high int) {
		inRange(field, v, low, high, v >= low && v <= high)
	}
	if p.Name == "" {
		errs = append(errs, errors.New("name: found none, a name is needed"))
	}
	duration("longest-deadline", p.LongestDeadline, MinDeadline, MaxDeadline)
	duration("default-deadline", p.DefaultDeadline, MinDeadline, p.LongestDeadline)
	share("wanted-coverage", p.WantedCoverage, 1)
	share("least-coverage", p.LeastCoverage, p.WantedCoverage)
	share("fault-extra-share", p.FaultExtraShare, MaxExtraShare)
	share("extra-share", p.ExtraShare, p.FaultExtraShare)
	inRange("hedge-quantile", p.HedgeQuantile, 0.5, 0.999, p.HedgeQuantile >= 0.5 && p.HedgeQuantile <= 0.999)
	count("attempts-per-shard", p.AttemptsPerShard, 1, MaxAttempts)
	duration("ramp-step", p.RampStep, time.Millisecond, MaxRampStep)
	count("queue-length", p.QueueLength, 0, MaxQueueLength)
	count("queries-in-flight", p.QueriesInFlight, 1, MaxQueriesInFlight)
	if len(p.Classes) == 0 {
		errs = append(errs, errors.New("classes: found none, at least one is needed"))
	}
	if len(errs) > 0 {
		return &Error{Op: "check " + string(p.Name), Kind: Invalid, Err: errors.Join(errs...)}
	}
	return nil
}

// A Difference is one field in which two presets differ.
type Difference struct {
	Field    string
	Old, New string
}

// Diff returns the fields other than Name in which a and b differ.
func Diff(a, b *Preset) []Difference {
	var out []Difference
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		field := va.Type().Field(i).Name
		x, y := va.Field(i).Interface(), vb.Field(i).Interface()
		if field != "Name" && !reflect.DeepEqual(x, y) {
			out = append(out, Difference{field, fmt.Sprint(x), fmt.Sprint(y)})
		}
	}
	return out
}

// Ordinary returns the default preset.
func Ordinary() Preset {
	return Preset{
		Name:             "ordinary",
		DefaultDeadline:  500 * time.Millisecond,
		LongestDeadline:  10 * time.Second,
		WantedCoverage:   1,
		LeastCoverage:    0.5,
		ExtraShare:       0.05,
		FaultExtraShare:  0.10,
		HedgeQuantile:    0.96,
		AttemptsPerShard: 3,
		RampStep:         500 * time.Millisecond,
		QueueLength:      64,
		QueriesInFlight:  1000,
		Classes:          []ident.ClassID{"urgent", "interactive", "report"},
	}
}
