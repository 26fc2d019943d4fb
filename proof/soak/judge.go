package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	// regressSlack is the time after an effect of a version within which a VM may still
	// handle requests as an older version allows.
	regressSlack = 250 * time.Millisecond
	// disturbedRegressSlack is regressSlack for a disturbed VM.
	disturbedRegressSlack = 8 * regressSlack
)

// notFound is the answer to a call that has no route.
var notFound = handling{status: http.StatusNotFound}

// A handling is what became of a call: a run at a replica or an answer.
type handling struct {
	// at is when the run began or the answer was complete.
	at time.Time
	// service is that of the replica that ran the request; empty for an answer.
	service ident.ServiceID
	// status is that of the answer.
	status int
}

func (h handling) String() string {
	if h.service != "" {
		return fmt.Sprintf("run by %s", h.service)
	}
	return fmt.Sprintf("answered with %d", h.status)
}

// allowedBy reports whether a VM may handle the call so by a version.
func (h handling) allowedBy(v *version, c *call) bool {
	switch {
	case h.service != "":
		return v.sendsTo(c, h.service)
	case h.status == http.StatusNotFound:
		return v.route(c) == nil
	}
	return v.route(c) != nil
}

// A Lag is the time from the acknowledgement of a version to the first request that shows
// it on a VM.
type Lag struct {
	VM      ident.VMID
	Version ident.RoutesVersion
	// Acknowledged is the time from the start of the soak to the acknowledgement.
	Acknowledged, Lag time.Duration
	// Unseen is true if no request showed the version until the end.
	Unseen bool
}

func (l Lag) String() string {
	if l.VM == "" {
		return "none"
	}
	unseen := ""
	if l.Unseen {
		unseen = " or more"
	}
	return fmt.Sprintf("%.2f s%s for version %d of %.2f s on %s", l.Lag.Seconds(), unseen, l.Version, l.Acknowledged.Seconds(), l.VM)
}

// A Judgement counts what a judge checked.
type Judgement struct {
	// Judged counts the requests through VMs in touch that ran or got an answer that
	// depends on the configuration.
	Judged int
	// Telling counts those of them that an older version, no longer in force, would have
	// handled as no version in force does.
	Telling int
	// GreatestLag is the greatest of the lags on VMs that were in touch from the
	// acknowledgement on, and Lags their number. It may exceed the true one while changes
	// follow quickly: only a request that no older version allows shows a version.
	GreatestLag Lag
	Lags        int
	// LatestOld is the longest time after the acknowledgement of a version at which a
	// judged request was sent that was handled as only older versions allow.
	LatestOld Lag
}

// A findingKey distinguishes findings, which are reported once with their number.
type findingKey struct {
	vm       ident.VMID
	what     string
	version  ident.RoutesVersion
	handling string
}

// A finding is a broken promise.
type finding struct {
	key   findingKey
	first string
	count int
}

// A judge compares how VMs handled calls with the versions of the configuration.
type judge struct {
	versions versions
	touch    *touchLog
	began    time.Time
	// runs holds the runs at replicas by the id of the call.
	runs map[string][]handling

	judgement Judgement
	// findings are in the order in which they were found.
	findings []*finding
	byKey    map[findingKey]*finding
}

// addRuns adds the runs of a replica.
func (j *judge) addRuns(service ident.ServiceID, runs []standin.Run) {
	if j.runs == nil {
		j.runs = map[string][]handling{}
	}
	for _, one := range runs {
		j.runs[one.ID] = append(j.runs[one.ID], handling{at: one.At, service: service})
	}
}

// handlings returns the runs of a call and its answer, if they depend on the configuration.
func (j *judge) handlings(c *call) []handling {
	all := slices.Clone(j.runs[c.id])
	if c.status == http.StatusOK || c.status == http.StatusNotFound {
		all = append(all, handling{at: c.ended, status: c.status})
	}
	return all
}

// judge judges the calls.
func (j *judge) judge(calls []call) {
	byVM := map[ident.VMID][]*call{}
	for i := range calls {
		byVM[calls[i].vm] = append(byVM[calls[i].vm], &calls[i])
	}
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		own := byVM[vm]
		slices.SortStableFunc(own, func(a, b *call) int { return a.sent.Compare(b.sent) })
		for _, c := range own {
			j.judgeCall(c)
		}
		j.judgeRegress(vm, own)
		j.measureLags(vm, own)
	}
}

// judgeCall checks that a version that may be in force allows each handling of a call.
func (j *judge) judgeCall(c *call) {
	judged, telling := false, false
	for _, h := range j.handlings(c) {
		if !j.touch.inTouch(c.vm, c.sent, h.at) {
			continue
		}
		oldest, end := j.versions.inForce(c.sent, h.at)
		judged = true
		telling = telling || j.versions.tells(c, oldest, end)
		j.noteOld(c, h, end)
		if j.versions.firstAllowing(c, h, oldest, end) == end {
			j.report(c, h, oldest, "late", fmt.Sprintf("version %d was acknowledged %.2f s before",
				j.versions[oldest].number, c.sent.Sub(j.versions[oldest].acknowledged).Seconds()))
		}
	}
	if judged {
		j.judgement.Judged++
	}
	if telling {
		j.judgement.Telling++
	}
}

// noteOld updates LatestOld by a handling that only older versions allow.
func (j *judge) noteOld(c *call, h handling, end int) {
	newest := end - 1
	for newest >= 0 && !h.allowedBy(&j.versions[newest], c) {
		newest--
	}
	if newest < 0 || newest == end-1 {
		return
	}
	next := &j.versions[newest+1]
	if lag := c.sent.Sub(next.acknowledged); lag > j.judgement.LatestOld.Lag {
		j.judgement.LatestOld = Lag{VM: c.vm, Version: next.number, Acknowledged: next.acknowledged.Sub(j.began), Lag: lag}
	}
}

// An effect is a run that shows that a version or a newer one is in force.
type effect struct {
	at      time.Time
	process int
	version int
}

// judgeRegress checks that no process of a VM handles a request as only versions allow that
// are older than one that had an effect before. The calls are in the order of sending.
func (j *judge) judgeRegress(vm ident.VMID, calls []*call) {
	var effects []effect
	floor, floorProcess := 0, 0
	for _, c := range calls {
		process := j.touch.process(vm, c.sent)
		if process != floorProcess {
			floor, floorProcess, effects = 0, process, nil
		}
		// A disturbed VM gets a longer slack, which the handlings below may extend to.
		floor = max(floor, settledVersion(effects, c.sent.Add(-disturbedRegressSlack)))
		effects = slices.DeleteFunc(effects, func(e effect) bool { return e.at.Before(c.sent.Add(-disturbedRegressSlack)) })
		recent := settledVersion(effects, c.sent.Add(-regressSlack))
		for _, h := range j.handlings(c) {
			if j.touch.process(vm, h.at) != process {
				continue
			}
			least := floor
			if j.touch.calm(vm, c.sent.Add(-inTouchAfter), h.at) {
				least = max(least, recent)
			}
			end := j.versions.writtenBefore(h.at)
			shown := j.versions.firstAllowing(c, h, least, end)
			switch {
			case shown == end:
				j.report(c, h, least, "regress", fmt.Sprintf("version %d had an effect before", j.versions[least].number))
			case h.service != "":
				effects = append(effects, effect{h.at, process, shown})
			}
		}
	}
}

// settledVersion returns the newest version of the effects before a time.
func settledVersion(effects []effect, before time.Time) int {
	newest := 0
	for _, e := range effects {
		if e.at.Before(before) {
			newest = max(newest, e.version)
		}
	}
	return newest
}

// measureLags measures when each version was first shown on a VM that was in touch until
// then. The calls are in the order of sending.
func (j *judge) measureLags(vm ident.VMID, calls []*call) {
	if len(calls) == 0 {
		return
	}
	shownAt := make([]time.Time, len(j.versions))
	for _, c := range calls {
		for _, h := range j.handlings(c) {
			if shown := j.versions.firstAllowing(c, h, 0, j.versions.writtenBefore(h.at)); shown < len(shownAt) {
				for i := shown; i > 0 && shownAt[i].IsZero(); i-- {
					shownAt[i] = c.sent
				}
			}
		}
	}
	last := calls[len(calls)-1].sent
	for i := 1; i < len(j.versions); i++ {
		v := &j.versions[i]
		shown, unseen := shownAt[i], shownAt[i].IsZero()
		if unseen {
			shown = last
		}
		if !j.touch.inTouch(vm, v.acknowledged, shown) {
			continue
		}
		j.judgement.Lags++
		if lag := max(0, shown.Sub(v.acknowledged)); lag >= j.judgement.GreatestLag.Lag {
			j.judgement.GreatestLag = Lag{vm, v.number, v.acknowledged.Sub(j.began), lag, unseen}
		}
	}
}

// report adds a finding about a handling of a call.
func (j *judge) report(c *call, h handling, oldest int, what, reason string) {
	key := findingKey{c.vm, what, j.versions[oldest].number, h.String()}
	if f, ok := j.byKey[key]; ok {
		f.count++
		return
	}
	f := &finding{key: key, count: 1, first: fmt.Sprintf("%s (%s): %s %s%s sent at %.2f s was %v at %.2f s, as only older versions allow; %s",
		c.vm, what, c.id, c.host, c.path, c.sent.Sub(j.began).Seconds(), h, h.at.Sub(j.began).Seconds(), reason)}
	if j.byKey == nil {
		j.byKey = map[findingKey]*finding{}
	}
	j.byKey[key] = f
	j.findings = append(j.findings, f)
}

// broken describes the findings.
func (j *judge) broken() []string {
	var out []string
	for _, f := range j.findings {
		line := f.first
		if f.count > 1 {
			line += fmt.Sprintf(" (%d such handlings)", f.count)
		}
		out = append(out, line)
	}
	return out
}
