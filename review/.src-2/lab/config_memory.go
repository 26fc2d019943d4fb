package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// resident returns the resident memory of a machine's process in MB.
func (m *machine) resident() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// gatherRoutes returns n routes over the shards. The step makes each version differ.
func gatherRoutes(n, step int, shards []string) []map[string]any {
	routes := []map[string]any{}
	for i := range n {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%05d", i), "host": "tile33.example", "pathPrefix": fmt.Sprintf("/p%05d/", i),
			"routeType": "idempotent", "timeoutMs": 2500 + step, "targetLatencyMs": 150, "priority": 1,
			"gather": shards, "attempts": 2, "topK": 20, "minCoverage": 0.89, "public": false,
		})
	}
	return routes
}

func shardNames(n int) []string {
	names := []string{}
	for i := range n {
		names = append(names, fmt.Sprintf("shard%02d", i))
	}
	return names
}

// configMemory changes a large configuration in storms. The lab kills a process whose memory
// exceeds that of its machine, and starts it again, as the platform does.
func configMemory() {
	const (
		shards    = 36
		fillers   = 1400
		changes   = 12
		gap       = 330 * time.Millisecond
		pause     = 2 * time.Second
		lasts     = 100 * time.Second
		most      = 3
		restartIn = 500 * time.Millisecond
	)
	l := newLab()
	l.memoryMB = 284
	between, rest := gap, pause
	if os.Getenv("STEADY") != "" {
		// A small machine of another sheet, and changes at the mean rate of the users' target.
		l.memoryMB, between, rest = 136, 1900*time.Millisecond, 0
	}
	for n := range 2 {
		r := &replica{lab: l, service: "desk", slots: 24, work: 160 * time.Millisecond}
		r.start(fmt.Sprintf("i-desk-%d", n))
	}
	names := shardNames(shards)
	config := func(step int) {
		routes := append(gatherRoutes(fillers, step, names), route("r-desk", "/desk/", "desk"))
		l.configure(3+2*step, routes, append([]string{"desk"}, names...), nil)
	}
	config(0)
	for n := range 3 {
		l.start(fmt.Sprintf("frontend-%d", n), true)
	}
	first := append([]*machine(nil), l.vms...)
	for _, m := range first {
		m.awaitReady(20 * time.Second)
		l.send(m, "desk", 45, func() string { return "/desk/x" }, nil)
	}
	var mu sync.Mutex
	kills, peak := map[string]int{}, 0
	watch := func(m *machine) {
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			used := m.resident()
			mu.Lock()
			peak = max(peak, used)
			mu.Unlock()
			if used <= l.memoryMB {
				continue
			}
			l.note("machine %s takes %d MB of %d", m.name, used, l.memoryMB)
			m.signal(syscall.SIGKILL)
			<-m.exited
			mu.Lock()
			kills[m.name]++
			mu.Unlock()
			time.Sleep(restartIn)
			m.run(false)
		}
	}
	var watchers sync.WaitGroup
	for _, m := range first {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			watch(m)
		}()
	}
	ended := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(kills)
	}
	time.Sleep(3 * time.Second)
	step := 0
	for begin := time.Now(); time.Since(begin) < lasts && ended() < len(first); time.Sleep(rest) {
		for range changes {
			if l.trouble {
				step++
				config(step)
			}
			time.Sleep(between)
		}
	}
	l.stopTraffic()
	watchers.Wait()
	// Lost are requests on kept connections that a replica ran and that got no answer.
	ran := map[string]bool{}
	for _, r := range l.runs {
		ran[r.id] = r.ran
	}
	lost := map[string]int{}
	total := 0
	for _, c := range l.calls {
		if c.kept && c.status == 0 && ran[c.id] {
			lost[c.vm]++
			total++
		}
	}
	l.finish(total > most, "LOST: %d changes; ended for their memory: %v; the most was %d MB of %d; requests that replicas ran and that got no answer: %v",
		step, kills, peak, l.memoryMB, lost)
}
