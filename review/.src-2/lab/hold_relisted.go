package main

import (
	"fmt"
	"net/http"
	"time"
)

// holdRelisted lets a replica ask for no requests for some seconds and lose its path to the
// store meanwhile, so that its entry lapses and comes back.
func holdRelisted() {
	const (
		asked = 20 * time.Second
		grace = 500 * time.Millisecond
		// lapse is three ping intervals of silence.
		lapse = 3 * heartbeat
		cut   = 5 * time.Second
	)
	l := newLab()
	var refusing bool
	turnAway := func(r *replica, w http.ResponseWriter, request string, _ *http.Request) bool {
		l.mu.Lock()
		refuse := refusing
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
	var full *replica
	for n := range 3 {
		r := &replica{lab: l, service: "desk", slots: 4, work: 10 * time.Millisecond}
		if n == 0 {
			full, r.before = r, turnAway
		}
		r.start(fmt.Sprintf("i-desk-%d", n))
	}
	l.configure(3, []map[string]any{route("r-desk", "/desk/", "desk")}, []string{"desk"}, nil)
	for n := range 3 {
		l.start(fmt.Sprintf("frontend-%d", n), true)
	}
	for _, m := range l.vms {
		m.awaitReady(20 * time.Second)
	}
	time.Sleep(10 * time.Second)
	for _, m := range l.vms {
		l.send(m, "look", 40, func() string { return "/desk/x" }, nil)
	}
	time.Sleep(5 * time.Second)
	setRefusing := func(on bool) {
		l.mu.Lock()
		refusing = on
		l.mu.Unlock()
		l.note("replica i-desk-0 turns requests away: %v", on)
	}
	setRefusing(true)
	time.Sleep(time.Second)
	if l.trouble {
		full.mu.Lock()
		full.cutOff = true
		full.mu.Unlock()
		l.note("replica i-desk-0 does not reach the store")
		time.Sleep(lapse)
		l.store.remove("servers", "i-desk-0")
		l.note("the entry of replica i-desk-0 lapsed")
		time.Sleep(cut - lapse)
		full.mu.Lock()
		full.cutOff = false
		full.mu.Unlock()
		l.note("replica i-desk-0 reaches the store again")
	} else {
		time.Sleep(cut)
	}
	setRefusing(false)
	time.Sleep(asked)
	l.stopTraffic()
	// Judged is each request from its arrival, by the machine that sent it.
	machines := map[string]string{}
	for _, c := range l.calls {
		machines[c.id] = c.vm
	}
	firstRefusal, reached := map[string]time.Time{}, map[string]int{}
	most := 0
	for _, r := range l.runs {
		m := machines[r.id]
		if r.replica != "i-desk-0" || m == "" {
			continue
		}
		first, refused := firstRefusal[m]
		if !refused {
			if !r.ran {
				firstRefusal[m] = r.at
			}
			continue
		}
		if r.at.After(first.Add(grace)) && r.at.Before(first.Add(asked)) {
			reached[m]++
			most = max(most, reached[m])
		}
	}
	l.finish(most > 2, "BUDGET: %d machines were answered 503 with Retry-After %v; requests that reached the replica between %v later and the end of that time: %v",
		len(firstRefusal), asked, grace, reached)
}
