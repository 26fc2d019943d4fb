// Package preset holds presets: named sets of decisions for ordinary days,
// peaks and maintenance. Exactly one preset is in force at any time.
package preset

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Preset is a named set of decisions. Presets are immutable once accepted.
type Preset struct {
	Name ident.PresetName
	// DefaultDeadline applies to a request without one; at most LongestDeadline.
	DefaultDeadline time.Duration
	LongestDeadline time.Duration
	// WantedCoverage ends a query's hedging once reached; 1 wants every shard.
	WantedCoverage ident.Share
	// LeastCoverage is the least coverage that is answered rather than refused.
	LeastCoverage ident.Share
	// ExtraShare bounds hedges and retries together, per first attempt.
	ExtraShare ident.Share
	// FaultExtraShare bounds the same while attempts fail; at least ExtraShare.
	FaultExtraShare ident.Share
	// HedgeQuantile is the latency quantile after which a hedge starts.
	HedgeQuantile ident.Share
	// AttemptsPerShard counts the first attempt too.
	AttemptsPerShard int
	// RampStep is the time between two steps of a cold replica's ramp.
	RampStep time.Duration
	// QueueLength bounds the attempts that wait for one shard.
	QueueLength int
	// QueriesInFlight bounds the admitted queries of one VM.
	QueriesInFlight int
	// Classes are in order of priority, the highest first.
	Classes []ident.ClassID
}

// Rank returns the class's priority, 0 the highest; an unknown class is last.
func (p *Preset) Rank(class ident.ClassID) int {
	if i := slices.Index(p.Classes, class); i >= 0 {
		return i
	}
	return max(len(p.Classes)-1, 0)
}

// Limits of the values that a preset may take.
const (
	ShortestDeadline = time.Millisecond
	LongestDeadline  = time.Minute
	MaxAttempts      = 4
	MostExtraShare   = 0.10
	LongestRampStep  = time.Minute
	MostQueued       = 10_000
	MostInFlight     = 100_000
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

// Check returns an error that names each field out of range, or nil.
func (p *Preset) Check() error {
	var bad []error
	within := func(field string, v, low, high any, ok bool) {
		if !ok {
			bad = append(bad, fmt.Errorf("%s: found %v, allowed %v to %v", field, v, low, high))
		}
	}
	share := func(field string, v, high ident.Share) {
		within(field, v, 0, high, v >= 0 && v <= high)
	}
	span := func(field string, v, low, high time.Duration) {
		within(field, v, low, high, v >= low && v <= high)
	}
	count := func(field string, v, low, high int) {
		within(field, v, low, high, v >= low && v <= high)
	}
	if p.Name == "" {
		bad = append(bad, errors.New("name: found none, a name is needed"))
	}
	span("longest-deadline", p.LongestDeadline, ShortestDeadline, LongestDeadline)
	span("default-deadline", p.DefaultDeadline, ShortestDeadline, p.LongestDeadline)
	share("wanted-coverage", p.WantedCoverage, 1)
	share("least-coverage", p.LeastCoverage, p.WantedCoverage)
	share("fault-extra-share", p.FaultExtraShare, MostExtraShare)
	share("extra-share", p.ExtraShare, p.FaultExtraShare)
	within("hedge-quantile", p.HedgeQuantile, 0.5, 0.999, p.HedgeQuantile >= 0.5 && p.HedgeQuantile <= 0.999)
	count("attempts-per-shard", p.AttemptsPerShard, 1, MaxAttempts)
	span("ramp-step", p.RampStep, time.Millisecond, LongestRampStep)
	count("queue-length", p.QueueLength, 0, MostQueued)
	count("queries-in-flight", p.QueriesInFlight, 1, MostInFlight)
	if len(p.Classes) == 0 {
		bad = append(bad, errors.New("classes: found none, at least one is needed"))
	}
	if len(bad) > 0 {
		return &Error{Op: "check " + string(p.Name), Kind: Invalid, Err: errors.Join(bad...)}
	}
	return nil
}

// A Difference is one field in which two presets differ.
type Difference struct {
	Field    string
	Old, New string
}

// Diff lists the fields in which a and b differ, names aside.
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
