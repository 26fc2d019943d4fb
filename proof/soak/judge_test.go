package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/proof/fleet"
)

const testVM = ident.VMID("entry-0")

// start is the time 0 of the tests.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// testVersion returns a version, acknowledged at a time in seconds, in which each prefix
// leads to its service.
func testVersion(number ident.RoutesVersion, acknowledged float64, services map[string]ident.ServiceID) version {
	var routes []route.Route
	for prefix, service := range services {
		routes = append(routes, route.Route{
			Host: fleet.DeskHost, Prefix: prefix, Targets: []route.Target{{Services: []ident.ServiceID{service}, Weight: 1}},
		})
	}
	return version{number: number, table: route.NewTable(routes), written: at(acknowledged), acknowledged: at(acknowledged)}
}

// movedAt10 is a configuration that at 10 s moves /look/ and replaces /old/ by /new/.
func movedAt10() versions {
	return versions{
		testVersion(3, -20, map[string]ident.ServiceID{"/look/": fleet.Desk, "/old/": fleet.Desk}),
		testVersion(6, 10, map[string]ident.ServiceID{"/look/": fleet.OtherDesk, "/new/": fleet.OtherDesk}),
	}
}

// running returns a touchLog in which the VM and another one run for long.
func running() *touchLog {
	t := &touchLog{}
	t.started(testVM, at(-10))
	t.started("entry-1", at(-10))
	return t
}

// A testCall is a call with the runs at services.
type testCall struct {
	path   string
	sent   float64
	ended  float64
	status int
	// ranBy and ranAt are of the only run; empty for none.
	ranBy ident.ServiceID
	ranAt float64
}

// judgeCalls judges calls through testVM.
func judgeCalls(v versions, t *touchLog, calls ...testCall) *judge {
	j := &judge{versions: v, touch: t, began: start, runs: map[string][]handling{}}
	var all []call
	for i, c := range calls {
		id := fmt.Sprint(i)
		all = append(all, call{
			id: id, vm: testVM, host: fleet.DeskHost, path: c.path, sent: at(c.sent), ended: at(c.ended), status: c.status,
		})
		if c.ranBy != "" {
			j.runs[id] = append(j.runs[id], handling{at: at(c.ranAt), service: c.ranBy})
		}
	}
	j.judge(all)
	return j
}

// TestJudgeVersions checks each way in which a request can be handled as only versions allow
// that are no longer in force.
func TestJudgeVersions(t *testing.T) {
	tests := []struct {
		name          string
		call          testCall
		late, telling bool
	}{
		{"run by the old service before the bound", testCall{"/look/x", 12.9, 13.2, 200, fleet.Desk, 13.1}, false, false},
		{"run by the old service", testCall{"/look/x", 13.1, 13.3, 200, fleet.Desk, 13.2}, true, true},
		{"run by the old service without an answer", testCall{"/look/x", 13.1, 15, 0, fleet.Desk, 13.2}, true, true},
		{"run by the new service", testCall{"/look/x", 13.1, 13.3, 200, fleet.OtherDesk, 13.2}, false, true},
		{"run by the new service at once", testCall{"/look/x", 10.1, 10.3, 200, fleet.OtherDesk, 10.2}, false, false},
		{"run by the new service before the change", testCall{"/look/x", 9, 9.3, 200, fleet.OtherDesk, 9.2}, true, false},
		{"a new route refused before the bound", testCall{"/new/x", 12.9, 13.2, 404, "", 0}, false, false},
		{"a new route refused", testCall{"/new/x", 13.1, 13.2, 404, "", 0}, true, true},
		{"a new route answered with 503", testCall{"/new/x", 13.1, 13.2, 503, "", 0}, false, false},
		{"a dropped route refused", testCall{"/old/x", 13.1, 13.2, 404, "", 0}, false, true},
		{"a dropped route refused at once", testCall{"/old/x", 10.1, 10.2, 404, "", 0}, false, false},
		{"a dropped route served", testCall{"/old/x", 13.1, 13.2, 200, "", 0}, true, true},
		{"run with a dropped route", testCall{"/old/x", 13.1, 15, 0, fleet.Desk, 13.2}, true, true},
		{"a route that never was refused", testCall{"/never/x", 13.1, 13.2, 404, "", 0}, false, false},
		{"a route that never was served", testCall{"/never/x", 13.1, 13.2, 200, "", 0}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := judgeCalls(movedAt10(), running(), test.call)
			if late := strings.Contains(strings.Join(j.broken(), "\n"), "(late)"); late != test.late {
				t.Errorf("late %v: %v", late, j.broken())
			}
			if telling := j.judgement.Telling == 1; telling != test.telling {
				t.Errorf("telling %v", telling)
			}
		})
	}
}

// TestJudgeMovesBack checks that a route that moves to another service and back may be in
// either place while both versions may be in force, and only in the last one afterwards.
func TestJudgeMovesBack(t *testing.T) {
	v := append(movedAt10(), testVersion(7, 11, map[string]ident.ServiceID{"/look/": fleet.Desk}))
	if j := judgeCalls(v, running(), testCall{"/look/x", 13.5, 13.7, 200, fleet.OtherDesk, 13.6}); len(j.findings) > 0 {
		t.Error(j.broken())
	}
	if j := judgeCalls(v, running(), testCall{"/look/x", 14.1, 14.3, 200, fleet.OtherDesk, 14.2}); len(j.findings) != 1 {
		t.Error(j.broken())
	}
}

// TestJudgeInTouch checks which disturbances take a VM out of touch. The request shows at
// 20 s that the change of 10 s is not in force.
func TestJudgeInTouch(t *testing.T) {
	vm := func(id ident.VMID, c cause, from, to float64) func(*touchLog) {
		return func(t *touchLog) {
			t.set(id, c, true, at(from))
			t.set(id, c, false, at(to))
		}
	}
	tests := []struct {
		name    string
		disturb func(*touchLog)
		judged  bool
	}{
		{"calm", func(*touchLog) {}, true},
		{"refused all the time", vm(testVM, refused, -5, 30), true},
		{"frozen long before", vm(testVM, frozen, 12, 15.9), true},
		{"frozen shortly before", vm(testVM, frozen, 12, 16.1), false},
		{"frozen until it was handled", vm(testVM, frozen, 20.1, 20.15), false},
		{"frozen after it was handled", vm(testVM, frozen, 20.3, 20.9), true},
		{"cut off", vm(testVM, cut, 15, 25), false},
		{"harmed otherwise", vm(testVM, lossy, 17, 18), false},
		{"another VM frozen", vm("entry-1", frozen, 15, 25), true},
		{"stopped and not started", func(t *touchLog) { t.set(testVM, stopped, true, at(15)) }, false},
		{"started shortly before", func(t *touchLog) {
			t.set(testVM, stopped, true, at(15))
			t.started(testVM, at(16.5))
		}, false},
		{"frozen and stopped, started long before", func(t *touchLog) {
			t.set(testVM, frozen, true, at(11))
			t.set(testVM, stopped, true, at(12))
			t.started(testVM, at(15))
		}, true},
		{"store faulty", func(t *touchLog) {
			t.setStore(true, at(10))
			t.setStore(false, at(16.5))
		}, false},
		{"store faulty long before", func(t *touchLog) {
			t.setStore(true, at(10))
			t.setStore(false, at(15.5))
		}, true},
		{"two faults of the store that overlap", func(t *touchLog) {
			t.setStore(true, at(9))
			t.setStore(true, at(10))
			t.setStore(false, at(11))
			t.setStore(false, at(16.5))
		}, false},
		{"all VMs refused", func(t *touchLog) {
			t.set(testVM, refused, true, at(12))
			vm("entry-1", refused, 13, 17)(t)
		}, false},
		{"refused while the only other VM is frozen", func(t *touchLog) {
			t.set(testVM, refused, true, at(12))
			vm("entry-1", frozen, 14, 17)(t)
		}, false},
		{"refused while the only other VM was frozen long before", func(t *touchLog) {
			t.set(testVM, refused, true, at(12))
			vm("entry-1", frozen, 12.5, 15.5)(t)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := running()
			test.disturb(log)
			j := judgeCalls(movedAt10(), log, testCall{"/look/x", 20, 20.2, 200, fleet.Desk, 20.1})
			if judged := j.judgement.Judged == 1; judged != test.judged {
				t.Errorf("judged %v", judged)
			}
			if late := len(j.findings) == 1; late != test.judged {
				t.Errorf("findings %v", j.broken())
			}
		})
	}
}

// TestJudgeRegress checks that a version that had an effect stays in force in its process.
func TestJudgeRegress(t *testing.T) {
	seen := testCall{"/look/x", 10.2, 10.4, 200, fleet.OtherDesk, 10.3}
	tests := []struct {
		name    string
		disturb func(*touchLog)
		call    testCall
		regress bool
	}{
		{"old service within the slack", nil, testCall{"/look/x", 10.5, 10.7, 200, fleet.Desk, 10.6}, false},
		{"old service after the slack", nil, testCall{"/look/x", 10.6, 10.8, 200, fleet.Desk, 10.7}, true},
		{"old service without an answer", nil, testCall{"/look/x", 10.6, 12, 0, fleet.Desk, 10.7}, true},
		{"new route refused", nil, testCall{"/new/x", 10.6, 10.7, http.StatusNotFound, "", 0}, true},
		{"old route served", nil, testCall{"/old/x", 10.6, 10.7, http.StatusOK, "", 0}, true},
		{"old route refused", nil, testCall{"/old/x", 10.6, 10.7, http.StatusNotFound, "", 0}, false},
		{"new service", nil, testCall{"/look/x", 10.6, 10.8, 200, fleet.OtherDesk, 10.7}, false},
		{"store faulty", func(t *touchLog) { t.setStore(true, at(9)) }, testCall{"/look/x", 10.6, 10.8, 200, fleet.Desk, 10.7}, true},
		{"cut off, within the longer slack", func(t *touchLog) { t.set(testVM, cut, true, at(9)) }, testCall{"/look/x", 12.2, 12.5, 200, fleet.Desk, 12.3}, false},
		{"cut off, after the longer slack", func(t *touchLog) { t.set(testVM, cut, true, at(9)) }, testCall{"/look/x", 12.4, 12.5, 200, fleet.Desk, 12.45}, true},
		{"another process", func(t *touchLog) {
			t.set(testVM, stopped, true, at(10.5))
			t.started(testVM, at(10.8))
		}, testCall{"/look/x", 12.9, 13, 200, fleet.Desk, 12.95}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := running()
			if test.disturb != nil {
				test.disturb(log)
			}
			j := judgeCalls(movedAt10(), log, test.call, seen)
			if regress := strings.Contains(strings.Join(j.broken(), "\n"), "(regress)"); regress != test.regress {
				t.Errorf("regress %v: %v", regress, j.broken())
			}
		})
	}
}

// TestRegressOfRouteThatMovesBack checks that a run at a service which two versions name is
// an effect of the newer one once the version between them had an effect.
func TestRegressOfRouteThatMovesBack(t *testing.T) {
	v := append(movedAt10(), testVersion(7, 11, map[string]ident.ServiceID{"/look/": fleet.Desk}))
	j := judgeCalls(v, running(),
		testCall{"/look/x", 10.2, 10.4, 200, fleet.OtherDesk, 10.3},
		testCall{"/look/x", 11.2, 11.4, 200, fleet.Desk, 11.3},
		testCall{"/look/x", 11.8, 12, 200, fleet.OtherDesk, 11.9},
	)
	if len(j.findings) != 1 || !strings.Contains(j.broken()[0], "version 7 had an effect before") {
		t.Error(j.broken())
	}
}

// TestLags checks the lag of a version on a VM.
func TestLags(t *testing.T) {
	early := testCall{"/look/x", 10.1, 10.3, 200, fleet.Desk, 10.2}
	shown := testCall{"/new/x", 11.5, 11.7, 200, fleet.OtherDesk, 11.6}
	j := judgeCalls(movedAt10(), running(), early, shown)
	if want := (Lag{testVM, 6, 10 * time.Second, 1500 * time.Millisecond, false}); j.judgement.GreatestLag != want {
		t.Errorf("lag %v", j.judgement.GreatestLag)
	}
	if want := (Lag{testVM, 6, 10 * time.Second, 100 * time.Millisecond, false}); j.judgement.LatestOld != want {
		t.Errorf("older version last in force %v", j.judgement.LatestOld)
	}
	late := testCall{"/look/x", 14.5, 14.7, 200, fleet.Desk, 14.6}
	j = judgeCalls(movedAt10(), running(), early, late)
	if want := (Lag{testVM, 6, 10 * time.Second, 4500 * time.Millisecond, true}); j.judgement.GreatestLag != want {
		t.Errorf("unseen: lag %v", j.judgement.GreatestLag)
	}
	disturbed := running()
	disturbed.set(testVM, frozen, true, at(7))
	disturbed.set(testVM, frozen, false, at(8))
	if j = judgeCalls(movedAt10(), disturbed, early, shown); j.judgement.Lags != 0 {
		t.Errorf("out of touch: lag %v", j.judgement.GreatestLag)
	}
}

// TestRequestsToServiceThatChanges checks that a request counts for the service to which the
// newest version sent it.
func TestRequestsToServiceThatChanges(t *testing.T) {
	calls := []call{
		{host: fleet.DeskHost, path: "/look/x", sent: at(12)},
		{host: fleet.DeskHost, path: "/look/x", sent: at(9)},
		{host: fleet.DeskHost, path: "/never/x", sent: at(12)},
	}
	v := movedAt10()
	if times := v.sentTo(calls, fleet.Desk); len(times) != 1 || !times[0].Equal(at(9)) {
		t.Errorf("to the first service %v", times)
	}
	if times := v.sentTo(calls, fleet.OtherDesk); len(times) != 1 || !times[0].Equal(at(12)) {
		t.Errorf("to the second service %v", times)
	}
}

// TestReportWithoutChecks checks that a soak without checks counts as not run.
func TestReportWithoutChecks(t *testing.T) {
	for _, r := range []Report{{}, {Checks: 1}, {Judgement: Judgement{Telling: 1}}} {
		if r.Checked() {
			t.Errorf("%+v counts as run", r)
		}
	}
	if r := (Report{Checks: 1, Judgement: Judgement{Telling: 1}}); !r.Checked() {
		t.Error("a soak with checks counts as not run")
	}
}
