package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// crashForgotten sends a request that crashes each replica that begins to run it, until the
// machines know it, restarts one machine and lets the request come there again.
func crashForgotten() {
	const (
		replicas = 23
		down     = 3 * time.Second
		every    = 800 * time.Millisecond
		learn    = 12 * time.Second
		touch    = 4 * time.Second
		quiet    = 5 * time.Second
		again    = 8 * time.Second
		pause    = 60 * time.Second
	)
	l := newLab()
	var mu sync.Mutex
	var crashes []time.Time
	starts := 0
	nextID := func() string {
		mu.Lock()
		defer mu.Unlock()
		starts++
		return fmt.Sprintf("i-desk-%d", starts)
	}
	for range replicas {
		r := &replica{lab: l, service: "desk", slots: 3, work: 20 * time.Millisecond}
		r.before = func(r *replica, _ http.ResponseWriter, request string, q *http.Request) bool {
			if !strings.HasSuffix(q.URL.Path, "/crasher") {
				return false
			}
			l.arrived(run{id: request, service: r.service, replica: r.id, at: time.Now(), ran: true})
			id := r.id
			if r.crash() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				l.note("replica %s crashed by %s", id, request)
				// The platform removes the entry after three ping intervals of silence.
				time.AfterFunc(3*heartbeat, func() { l.store.remove("servers", id) })
				time.AfterFunc(down, func() {
					r.start(nextID())
					l.note("replica %s started again as %s", id, r.id)
				})
			}
			panic(http.ErrAbortHandler)
		}
		r.start(nextID())
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
		l.send(m, "look", 15, func() string { return fmt.Sprintf("/desk/%d", rand.IntN(1000)) }, nil)
	}
	time.Sleep(2 * time.Second)
	transport := &http.Transport{DisableKeepAlives: true}
	crash := func(lasts time.Duration, pick func(n int) *machine) {
		var open sync.WaitGroup
		for begin, n := time.Now(), 0; time.Since(begin) < lasts; n++ {
			open.Add(1)
			go func() {
				defer open.Done()
				l.request(transport, pick(n), "crasher", "/desk/crasher", nil)
			}()
			time.Sleep(every)
		}
		open.Wait()
	}
	crash(learn, func(n int) *machine { return l.vms[n%len(l.vms)] })
	l.note("the machines know the request")
	victim := l.vms[0]
	restarted := time.Now()
	switch {
	case l.trouble && os.Getenv("PAUSE") != "":
		// Another way, without a restart: the request comes again after a pause.
		time.Sleep(pause)
	case l.trouble:
		victim.signal(syscall.SIGTERM)
		<-victim.exited
		victim.run(false)
		victim.awaitReady(20 * time.Second)
		restarted = time.Now()
	}
	time.Sleep(quiet)
	crash(again, func(int) *machine { return victim })
	l.stopTraffic()
	crashers := map[string]call{}
	for _, c := range l.calls {
		if c.kind == "crasher" {
			crashers[c.id] = c
		}
	}
	arrivals, retries, all := map[string]int{}, 0, 0
	for _, r := range l.runs {
		if _, ok := crashers[r.id]; !ok {
			continue
		}
		if arrivals[r.id]++; arrivals[r.id] == 1 {
			continue
		}
		all++
		if len(crashes) > 2 && r.at.After(crashes[2].Add(touch)) && (!l.trouble || crashers[r.id].vm != victim.name || r.at.After(restarted.Add(touch))) {
			retries++
		}
	}
	l.finish(retries > 3, "BUDGET: the request crashed %d replicas; it reached replicas in %d retries, %d of them later than %v after it had crashed the third and from machines in touch",
		len(crashes), all, retries, touch)
}
