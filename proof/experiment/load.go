// Package experiment puts whole deployments of stand-ins under load and faults
// on loopback, and compares policies side by side in one run.
package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/client"
)

// A Load is open: queries arrive at random times whether or not earlier ones
// were answered.
type Load struct {
	Service  string
	Rate     float64
	Deadline time.Duration
	// Classes are drawn with equal chance from the list.
	Classes []string
	Seed    uint64
}

// A sample is one query.
type sample struct {
	class           string
	began, took     time.Duration
	covered, wanted int
	extra           int
	refused         bool
	outcome         string
	missing         []string
}

const (
	mostInFlight  = 4096
	connsPerDoor  = 1024
	sampleReserve = 4096
)

// run puts load on the doors for a time and returns a sample for each query.
func (l *Load) run(ctx context.Context, doors []string, span time.Duration) []sample {
	transport := &http.Transport{MaxIdleConnsPerHost: connsPerDoor, MaxConnsPerHost: connsPerDoor}
	defer transport.CloseIdleConnections()
	var clients []*client.Client
	for _, d := range doors {
		clients = append(clients, &client.Client{Address: d, HTTP: &http.Client{Transport: transport}})
	}
	random := rand.New(rand.NewPCG(l.Seed, 5))
	results := make(chan sample, mostInFlight)
	samples := make([]sample, 0, sampleReserve)
	began := time.Now()
	var flying atomic.Int64
	next, sent := time.Duration(0), 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case s := <-results:
			samples = append(samples, s)
			continue
		case <-timer.C:
		case <-ctx.Done():
			next = span
		}
		for next <= time.Since(began) && next < span {
			if flying.Load() < mostInFlight {
				flying.Add(1)
				sent++
				go l.query(ctx, clients[sent%len(clients)], l.Classes[random.IntN(len(l.Classes))], began, results, &flying)
			}
			next += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		}
		if next >= span {
			break
		}
		timer.Reset(time.Until(began.Add(next)))
	}
	for len(samples) < sent {
		samples = append(samples, <-results)
	}
	return samples
}

func (l *Load) query(ctx context.Context, c *client.Client, class string, began time.Time, out chan<- sample, flying *atomic.Int64) {
	s := sample{class: class, began: time.Since(began)}
	answer, err := c.Search(ctx, &schema.SearchRequest{
		Service: l.Service, Query: []byte("find"), Tenant: "experiment", Class: class,
		Deadline: durationpb.New(l.Deadline),
	})
	s.took = time.Since(began) - s.began
	if err != nil {
		s.refused = true
		s.outcome = "lost"
		var e *client.Error
		if errors.As(err, &e) && e.Refusal != nil {
			s.outcome = e.Refusal.Reason
		}
	} else {
		for _, m := range answer.ShardsMissing {
			s.missing = append(s.missing, m.Reason)
		}
		s.covered, s.wanted, s.extra = len(answer.ShardsCovered), int(answer.ShardsWanted), int(answer.ExtraAttempts)
	}
	flying.Add(-1)
	out <- s
}

// A Result sums up one run.
type Result struct {
	Scenario, Policy   string
	Queries, Answered  int
	P50, P99, P999     time.Duration
	Coverage           float64
	ExtraShare         float64
	Goodput            float64
	UrgentGoodput      float64
	AttemptsPerQuery   float64
	MostCold, MostOpen int
	Reasons            map[string]int
	// Missing counts the missing shards by reason.
	Missing map[string]int
}

// summarize sums up the samples of a span.
func summarize(samples []sample, span time.Duration, deadline time.Duration) Result {
	r := Result{Queries: len(samples), Reasons: map[string]int{}, Missing: map[string]int{}}
	var took []time.Duration
	covered, wanted, extra, good, urgent := 0, 0, 0, 0, 0
	for _, s := range samples {
		if s.refused {
			r.Reasons[s.outcome]++
			continue
		}
		took = append(took, s.took)
		for _, m := range s.missing {
			r.Missing[m]++
		}
		covered += s.covered
		wanted += s.wanted
		extra += s.extra
		if s.covered == s.wanted && s.took <= deadline+deadline/10 {
			good++
			if s.class == "urgent" {
				urgent++
			}
		}
	}
	r.Answered = len(took)
	slices.Sort(took)
	r.P50, r.P99, r.P999 = at(took, 0.5), at(took, 0.99), at(took, 0.999)
	if wanted > 0 {
		r.Coverage = float64(covered) / float64(wanted)
		r.ExtraShare = float64(extra) / float64(wanted)
	}
	r.Goodput = float64(good) / span.Seconds()
	r.UrgentGoodput = float64(urgent) / span.Seconds()
	return r
}

func at(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
