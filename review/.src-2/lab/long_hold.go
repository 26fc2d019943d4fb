package main

import (
	"fmt"
	"net/http"
	"time"
)

// longHold lets a replica ask for no requests for longer than a minute.
func longHold() {
	const (
		asked  = 90 * time.Second
		grace  = 500 * time.Millisecond
		before = 6 * time.Second
	)
	l := newLab()
	var refusedUntil time.Time
	turnAway := func(r *replica, w http.ResponseWriter, request string, _ *http.Request) bool {
		l.mu.Lock()
		refuse := time.Now().Before(refusedUntil)
		l.mu.Unlock()
		if !refuse {
			return false
		}
		l.arrived(run{id: request, service: r.service, replica: r.id, at: time.Now(), status: http.StatusServiceUnavailable})
		w.Header().Set("Carawaycross-Request-Id", request)
		w.Header().Set("Carawaycross-Not-Executed", "1")
		w.Header().Set("Retry-After", fmt.Sprint(int(asked.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	for n := range 3 {
		r := &replica{lab: l, service: "desk", slots: 4, work: 10 * time.Millisecond}
		if n == 0 {
			r.before = turnAway
		}
		r.start(fmt.Sprintf("i-desk-%d", n))
	}
	l.configure(3, []map[string]any{route("r-desk", "/desk/", "desk")}, []string{"desk"}, nil)
	m := l.start("frontend-0", true)
	m.awaitReady(20 * time.Second)
	l.send(m, "look", 60, func() string { return "/desk/x" }, nil)
	time.Sleep(before)
	if l.trouble {
		l.mu.Lock()
		refusedUntil = time.Now().Add(2 * time.Second)
		l.mu.Unlock()
		l.note("replica i-desk-0 turns requests away with Retry-After %v for two seconds", asked)
	}
	time.Sleep(asked)
	l.stopTraffic()
	var first time.Time
	reached, turnedAway := 0, 0
	for _, r := range l.runs {
		if r.replica != "i-desk-0" {
			continue
		}
		if !r.ran {
			if turnedAway++; first.IsZero() {
				first = r.at
			}
			continue
		}
		if !first.IsZero() && r.at.After(first.Add(grace)) && r.at.Before(first.Add(asked)) {
			reached++
		}
	}
	l.finish(reached > 2, "BUDGET: the replica turned %d requests away with Retry-After %v; %d more reached it before the end of that time",
		turnedAway, asked, reached)
}
