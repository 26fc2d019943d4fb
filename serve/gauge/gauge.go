// Package gauge measures the requests that one VM answers: latency histogram,
// refusals, coverage and extra attempts for each tenant and class. It serves them
// with other variables as JSON in the format of expvar.
package gauge

import (
	"cmp"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
)

const (
	maxLatency = 60 * time.Second
	// significantDigits is the precision of the histogram in decimal digits.
	significantDigits = 2
	maxSeries         = 256
	// maxCandidates is the number of keys without a series whose requests are counted.
	maxCandidates = 1024
)

// A Key identifies a series.
type Key struct {
	Tenant ident.TenantID
	Class  ident.ClassID
}

// A series holds the totals of one Key.
type series struct {
	// latency is in microseconds.
	latency                                *hdrhistogram.Histogram
	refused                                map[admission.Reason]uint64
	wantedShards, coveredShards            uint64
	firstAttempts, extraAttempts, answered uint64
	// requests is the sum of answered and refused.
	requests uint64
}

// A Set holds the series and the published variables of one VM. Its methods may
// be called from several goroutines. The zero value is ready to use.
type Set struct {
	mu sync.Mutex
	// series has an entry for each of the maxSeries keys with the most requests, and one
	// with tenant and class "other" for all others.
	series map[Key]*series
	// candidates counts the requests of keys that have no series. It has at most
	// maxCandidates entries.
	candidates map[Key]uint64
	vars       expvar.Map
}

// Observe records the answer to a request. A refusal counts only its reason and
// its attempts.
func (s *Set) Observe(a node.Arrival, answer *node.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sr := s.seriesFor(Key{a.Tenant, a.Class})
	sr.requests++
	sr.firstAttempts += uint64(answer.FirstAttempts)
	sr.extraAttempts += uint64(answer.ExtraAttempts)
	if answer.Refusal != nil {
		sr.refused[answer.Refusal.Reason]++
		return
	}
	sr.answered++
	sr.coveredShards += uint64(len(answer.Coverage.Covered))
	sr.wantedShards += uint64(len(answer.Coverage.Covered) + len(answer.Coverage.Missing))
	// The latency is capped at maxLatency, the upper end of the histogram.
	_ = sr.latency.RecordValue(int64(min(answer.Took, maxLatency) / time.Microsecond))
}

// seriesFor returns the series of a key and creates it if needed. The lock must
// be held.
func (s *Set) seriesFor(k Key) *series {
	if s.series == nil {
		s.series = map[Key]*series{}
	}
	sr := s.series[k]
	if sr == nil {
		if len(s.series) >= maxSeries && !s.replaceSmallest(k) {
			k = otherKey
		}
		if sr = s.series[k]; sr == nil {
			sr = &series{
				latency: hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits),
				refused: map[admission.Reason]uint64{},
			}
			s.series[k] = sr
		}
	}
	return sr
}

// otherKey is the key of the series for all keys without one of their own.
var otherKey = Key{"other", "other"}

// replaceSmallest counts a request of a key without a series. Once the key has more
// requests than the smallest series, that series is added to the one for other keys, and
// replaceSmallest returns true.
func (s *Set) replaceSmallest(k Key) bool {
	if s.candidates == nil || (len(s.candidates) >= maxCandidates && s.candidates[k] == 0) {
		s.candidates = map[Key]uint64{}
	}
	s.candidates[k]++
	var smallest Key
	least, found := s.candidates[k], false
	for key, sr := range s.series {
		if key != otherKey && sr.requests < least {
			smallest, least, found = key, sr.requests, true
		}
	}
	if !found {
		return false
	}
	other := s.series[otherKey]
	if other == nil {
		other = s.series[smallest]
		s.series[otherKey] = other
	} else {
		other.add(s.series[smallest])
	}
	delete(s.series, smallest)
	delete(s.candidates, k)
	return true
}

func (sr *series) add(other *series) {
	sr.latency.Merge(other.latency)
	for reason, n := range other.refused {
		sr.refused[reason] += n
	}
	sr.wantedShards += other.wantedShards
	sr.coveredShards += other.coveredShards
	sr.firstAttempts += other.firstAttempts
	sr.extraAttempts += other.extraAttempts
	sr.answered += other.answered
	sr.requests += other.requests
}

// A Reading is a copy of one series with derived values.
type Reading struct {
	Key
	// Answered counts the answers that carry results.
	Answered, Refused uint64
	// Reasons counts the refusals by reason.
	Reasons        map[admission.Reason]uint64
	P50, P99, P999 time.Duration
	Max            time.Duration
	// Coverage is the share of covered among wanted shards; 1 without any.
	Coverage ident.Share
	// Extra is the ratio of extra to first attempts; 0 without any.
	Extra ident.Share
}

// Read returns a Reading of each series, sorted by key.
func (s *Set) Read() []Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Reading, 0, len(s.series))
	for k, sr := range s.series {
		r := Reading{
			Key: k, Answered: sr.answered, Coverage: ratio(sr.coveredShards, sr.wantedShards, 1),
			Extra: ratio(sr.extraAttempts, sr.firstAttempts, 0), Reasons: map[admission.Reason]uint64{},
			P50: sr.percentile(50), P99: sr.percentile(99), P999: sr.percentile(99.9),
			Max: time.Duration(sr.latency.Max()) * time.Microsecond,
		}
		for reason, n := range sr.refused {
			r.Reasons[reason] = n
			r.Refused += n
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Reading) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// percentile returns a latency percentile; percent is from 0 to 100.
func (sr *series) percentile(percent float64) time.Duration {
	return time.Duration(sr.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// ratio returns part divided by whole, or ifEmpty when whole is zero.
func ratio(part, whole uint64, ifEmpty ident.Share) ident.Share {
	if whole == 0 {
		return ifEmpty
	}
	return ident.Share(float64(part) / float64(whole))
}

// Publish adds a variable to the page that ServeHTTP writes.
func (s *Set) Publish(name string, v expvar.Var) { s.vars.Set(name, v) }

// ServeHTTP writes one JSON object with the global expvar variables, the
// published variables and, as "service", the readings of all series.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{")
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	s.vars.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	readings, err := json.Marshal(s.Read())
	if err != nil {
		readings = []byte("null")
	}
	fmt.Fprintf(w, "%q: %s}\n", "service", readings)
}
