// Package gauge measures the service of one VM: a latency histogram, coverage
// and extra attempts for each tenant and class, published in expvar's form.
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
	longest    = 60 * time.Second
	digits     = 2
	mostSeries = 256
)

// A Key names a series.
type Key struct {
	Tenant ident.TenantID
	Class  ident.ClassID
}

type series struct {
	latency                 *hdrhistogram.Histogram
	refused                 map[admission.Reason]uint64
	wanted, covered         uint64
	firsts, extra, answered uint64
}

// A Set holds the series of one VM. Its methods may be called from several
// goroutines. The zero value is ready.
type Set struct {
	mu sync.Mutex
	// Series has at most mostSeries entries; further tenants share one.
	series map[Key]*series
	vars   expvar.Map
}

// Observe takes one answer.
func (s *Set) Observe(a node.Arrival, answer *node.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.of(Key{a.Tenant, a.Class})
	one.firsts += uint64(answer.FirstAttempts)
	one.extra += uint64(answer.ExtraAttempts)
	if answer.Refusal != nil {
		one.refused[answer.Refusal.Reason]++
		return
	}
	one.answered++
	one.covered += uint64(len(answer.Coverage.Covered))
	one.wanted += uint64(len(answer.Coverage.Covered) + len(answer.Coverage.Missing))
	// A value beyond the histogram's range is recorded at its end.
	_ = one.latency.RecordValue(int64(min(answer.Took, longest) / time.Microsecond))
}

func (s *Set) of(k Key) *series {
	if s.series == nil {
		s.series = map[Key]*series{}
	}
	one := s.series[k]
	if one == nil {
		if len(s.series) >= mostSeries {
			k = Key{"other", "other"}
		}
		if one = s.series[k]; one == nil {
			one = &series{
				latency: hdrhistogram.New(1, int64(longest/time.Microsecond), digits),
				refused: map[admission.Reason]uint64{},
			}
			s.series[k] = one
		}
	}
	return one
}

// A Reading is the state of one series.
type Reading struct {
	Key
	Answered, Refused uint64
	Reasons           map[admission.Reason]uint64
	P50, P99, P999    time.Duration
	Max               time.Duration
	Coverage          ident.Share
	Extra             ident.Share
}

// Read returns all series in the order of their keys.
func (s *Set) Read() []Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Reading, 0, len(s.series))
	for k, one := range s.series {
		r := Reading{
			Key: k, Answered: one.answered, Coverage: share(one.covered, one.wanted, 1),
			Extra: share(one.extra, one.firsts, 0), Reasons: map[admission.Reason]uint64{},
			P50: one.at(50), P99: one.at(99), P999: one.at(99.9),
			Max: time.Duration(one.latency.Max()) * time.Microsecond,
		}
		for reason, n := range one.refused {
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

func (one *series) at(quantile float64) time.Duration {
	return time.Duration(one.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

func share(part, whole uint64, none ident.Share) ident.Share {
	if whole == 0 {
		return none
	}
	return ident.Share(float64(part) / float64(whole))
}

// Publish adds a variable under a name.
func (s *Set) Publish(name string, v expvar.Var) { s.vars.Set(name, v) }

// ServeHTTP answers with the process's and the VM's variables as one object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{")
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	s.vars.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	latency, err := json.Marshal(s.Read())
	if err != nil {
		latency = []byte("null")
	}
	fmt.Fprintf(w, "%q: %s}\n", "service", latency)
}
