package main

import (
	"fmt"
	"syscall"
	"time"
)

// largeStorm freezes one machine while a large configuration changes in quick succession.
func largeStorm() {
	const (
		shards     = 36
		fillers    = 1640
		changes    = 12
		gap        = 330 * time.Millisecond
		freeze     = 4 * time.Second
		apply      = 3 * time.Second
		touch      = 4 * time.Second
		movingStep = 6
	)
	l := newLab()
	for _, service := range []string{"old", "new"} {
		for n := range 2 {
			r := &replica{lab: l, service: service, slots: 8, work: 5 * time.Millisecond}
			r.start(fmt.Sprintf("i-%s-%d", service, n))
		}
	}
	gather := shardNames(shards)
	services := append([]string{"old", "new"}, gather...)
	config := func(step int) []map[string]any {
		target := "old"
		if step >= movingStep {
			target = "new"
		}
		return append(gatherRoutes(fillers, step, gather), route("moved", "/moved/", target))
	}
	l.configure(3, config(0), services, nil)
	for n := range 3 {
		l.start(fmt.Sprintf("frontend-%d", n), true)
	}
	for _, m := range l.vms {
		m.awaitReady(20 * time.Second)
	}
	for _, m := range l.vms {
		l.send(m, "moved", 20, func() string { return "/moved/x" }, nil)
	}
	time.Sleep(8 * time.Second)
	victim := l.vms[0]
	resumed := time.Now()
	if l.trouble {
		victim.signal(syscall.SIGSTOP)
	}
	storm := time.Now()
	var moved time.Time
	for step := 1; step <= changes; step++ {
		time.Sleep(time.Until(storm.Add(time.Duration(step-1) * gap)))
		at := l.configure(3+2*step, config(step), services, nil)
		if step == movingStep {
			moved = at
		}
	}
	time.Sleep(time.Until(storm.Add(freeze)))
	if l.trouble {
		victim.signal(syscall.SIGCONT)
		resumed = time.Now()
	}
	time.Sleep(24 * time.Second)
	l.stopTraffic()
	// Judged are requests that were sent after the bound to a machine in touch.
	stale := map[string]int{}
	var first, last time.Time
	calls := map[string]call{}
	for _, c := range l.calls {
		calls[c.id] = c
	}
	for _, r := range l.runs {
		c, ok := calls[r.id]
		inTouch := c.vm != victim.name || !l.trouble || c.sent.After(resumed.Add(touch))
		if ok && r.ran && r.service == "old" && inTouch && c.sent.After(moved.Add(apply)) {
			if stale[c.vm]++; first.IsZero() || c.sent.Before(first) {
				first = c.sent
			}
			if c.sent.After(last) {
				last = c.sent
			}
		}
	}
	total := 0
	for _, n := range stale {
		total += n
	}
	if total == 0 {
		l.finish(false, "CONFIG: no request that was sent over %v after the acknowledgement ran at the old service", apply)
	}
	l.finish(true, "CONFIG: %d requests ran at the old service, by machine %v, sent %.1f to %.1f s after the acknowledgement",
		total, stale, first.Sub(moved).Seconds(), last.Sub(moved).Seconds())
}
