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

// A Load is an open-loop load: queries arrive at random times, whether or not
// earlier ones have been answered.
type Load struct {
	Service string
	// Rate is in queries per second.
	Rate     float64
	Deadline time.Duration
	// Each query has one of Classes, drawn uniformly at random.
	Classes []string
	Seed    uint64
}

// A sample is the result of one query.
type sample struct {
	class           string
	began, latency  time.Duration
	covered, wanted int
	extra           int
	refused         bool
	outcome         string
	missing         []string
}

const (
	maxInFlight           = 4096
	connsPerVM            = 1024
	initialSampleCapacity = 4096
)

// run sends queries to the addresses for the span and returns a sample for each.
func (l *Load) run(ctx context.Context, addresses []string, span time.Duration) []sample {
	transport := &http.Transport{MaxIdleConnsPerHost: connsPerVM, MaxConnsPerHost: connsPerVM}
	defer transport.CloseIdleConnections()
	var clients []*client.Client
	for _, address := range addresses {
		clients = append(clients, &client.Client{Address: address, HTTP: &http.Client{Transport: transport}})
	}
	random := rand.New(rand.NewPCG(l.Seed, 5))
	results := make(chan sample, maxInFlight)
	samples := make([]sample, 0, initialSampleCapacity)
	began := time.Now()
	var inFlight atomic.Int64
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
			if inFlight.Load() < maxInFlight {
				inFlight.Add(1)
				sent++
				go l.query(ctx, clients[sent%len(clients)], l.Classes[random.IntN(len(l.Classes))], began, results, &inFlight)
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

func (l *Load) query(ctx context.Context, c *client.Client, class string, began time.Time, results chan<- sample, inFlight *atomic.Int64) {
	s := sample{class: class, began: time.Since(began)}
	answer, err := c.Search(ctx, &schema.SearchRequest{
		Service: l.Service, Query: []byte("find"), Tenant: "experiment", Class: class,
		Deadline: durationpb.New(l.Deadline),
	})
	s.latency = time.Since(began) - s.began
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
	inFlight.Add(-1)
	results <- s
}

// A Result summarizes one run.
type Result struct {
	Scenario, Policy        string
	Queries, Answered       int
	P50, P99, P999          time.Duration
	Coverage                float64
	ExtraShare              float64
	Goodput                 float64
	UrgentGoodput           float64
	AttemptsPerQuery        float64
	MaxColdRunning, MaxOpen int
	Reasons                 map[string]int
	// Missing counts the missing shards by reason.
	Missing map[string]int
}

// summarize computes the result of the samples of a span. Only an answer that is
// complete and at most a tenth over the deadline counts as goodput.
func summarize(samples []sample, span time.Duration, deadline time.Duration) Result {
	r := Result{Queries: len(samples), Reasons: map[string]int{}, Missing: map[string]int{}}
	var latencies []time.Duration
	covered, wanted, extra, inTime, urgentInTime := 0, 0, 0, 0, 0
	for _, s := range samples {
		if s.refused {
			r.Reasons[s.outcome]++
			continue
		}
		latencies = append(latencies, s.latency)
		for _, m := range s.missing {
			r.Missing[m]++
		}
		covered += s.covered
		wanted += s.wanted
		extra += s.extra
		if s.covered == s.wanted && s.latency <= deadline+deadline/10 {
			inTime++
			if s.class == "urgent" {
				urgentInTime++
			}
		}
	}
	r.Answered = len(latencies)
	slices.Sort(latencies)
	r.P50, r.P99, r.P999 = quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999)
	if wanted > 0 {
		r.Coverage = float64(covered) / float64(wanted)
		r.ExtraShare = float64(extra) / float64(wanted)
	}
	r.Goodput = float64(inTime) / span.Seconds()
	r.UrgentGoodput = float64(urgentInTime) / span.Seconds()
	return r
}

// quantile returns the q-quantile, q from 0 to 1, or 0 without values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
