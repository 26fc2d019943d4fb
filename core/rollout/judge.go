package rollout

import (
	"fmt"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// slotLength is the time over which answers of the versions are compared with each
	// other. maxSlots slots are kept.
	slotLength = 500 * time.Millisecond
	maxSlots   = 120
	// silentAfter is the time after which a VM that sent no report counts as silent.
	silentAfter = 3 * time.Second
	// absentAfter is the time after which a completion no longer waits for a silent VM.
	absentAfter = 10 * time.Second
)

// A Report is what one VM sends about one order to the judges.
type Report struct {
	VM          ident.VMID
	Incarnation ident.Incarnation
	// Sequence numbers the reports of one incarnation.
	Sequence uint64
	Evidence
	// Stage is the stage that the VM knows; Age is the time since it knows of the order.
	Stage  Stage
	Reason string
	Age    time.Duration
}

// Guidance is the answer of a judge to a Report.
type Guidance struct {
	Service ident.ServiceID
	Order   OrderID
	Stage   Stage
	Step    Step
	// Reason is the evidence for a final stage.
	Reason string
}

// Capacity counts the requests that the warm replicas of a service process at once.
type Capacity struct{ Target, Others int }

// A reporter is the last state that a VM reported.
type reporter struct {
	incarnation    ident.Incarnation
	sequence       uint64
	heard          ident.Instant
	step           Step
	othersInFlight int
	cells          map[Cell]Counts
}

// A stratum is a group of requests within which the versions are compared: one route, in
// one availability zone of the replicas.
type stratum struct {
	route ident.RouteID
	zone  ident.ZoneID
}

// A Judge joins the reports of all VMs about one order and decides its stage and step.
// Several VMs may judge the same order: each report carries the VM's whole state, so that a
// judge that starts late soon knows what the others know.
type Judge struct {
	order  Order
	vms    map[ident.VMID]*reporter
	stage  Stage
	step   Step
	reason string
	// began is when the order began, as far as any VM knows.
	began ident.Instant
	// stepSince is when this judge entered the step.
	stepSince ident.Instant
	slotStart ident.Instant
	// current holds the answers in the slot that began at slotStart.
	current map[Cell]CellCounts
	// references holds the answers of the other versions, which fade.
	references map[stratum]reference
	// slots holds the latest closed slots, oldest first.
	slots []slot
	// suspect is true while the answers of the target are worse than those of the others, but
	// not enough for a conviction.
	suspect bool
	// answers counts the answers of the target, at all and since stepSince.
	answers, stepAnswers uint64
	// compared is the number of the target's answers since stepSince whose latencies were
	// compared.
	compared float64
}

// NewJudge returns a judge of an order that is known since began.
func NewJudge(now, began ident.Instant, o Order) *Judge {
	return &Judge{
		order: o, vms: map[ident.VMID]*reporter{}, stage: InProgress, step: Canary, began: began, stepSince: now,
		slotStart: now, current: map[Cell]CellCounts{}, references: map[stratum]reference{},
	}
}

// Receive adds a report. Reports that are late, doubled or of an earlier process of the VM
// have no effect.
func (j *Judge) Receive(now ident.Instant, r *Report) {
	if r.Order != j.order.ID {
		return
	}
	v := j.vms[r.VM]
	switch {
	case v == nil || r.Incarnation > v.incarnation:
		v = &reporter{incarnation: r.Incarnation, cells: map[Cell]Counts{}}
		j.vms[r.VM] = v
	case r.Incarnation < v.incarnation || r.Sequence <= v.sequence:
		return
	}
	j.closeSlot(now)
	v.sequence, v.heard, v.step, v.othersInFlight = r.Sequence, now, r.Step, r.OthersInFlight
	j.began = min(j.began, now.Add(-min(max(r.Age, 0), ident.MaxSpan)))
	for i := range r.Cells {
		c := &r.Cells[i]
		added := *c
		added.Counts = c.since(v.cells[c.Cell])
		v.cells[c.Cell] = c.Counts
		if added.Counts == (Counts{}) {
			continue
		}
		sum := added
		sum.Counts = added.Plus(j.current[c.Cell].Counts)
		j.current[c.Cell] = sum
		if c.Target {
			j.answers += added.Answers
			j.stepAnswers += added.Answers
		}
	}
	j.adopt(now, r)
}

// adopt takes over what another judge has decided, as a VM reports it.
func (j *Judge) adopt(now ident.Instant, r *Report) {
	if r.Stage.Final() && (!j.stage.Final() || r.Stage == RolledBack) {
		j.stage, j.reason = r.Stage, r.Reason
	}
	if r.Step > j.step {
		j.enter(now, r.Step)
	}
}

func (j *Judge) enter(now ident.Instant, s Step) {
	j.step, j.stepSince, j.stepAnswers, j.compared = s, now, 0, 0
}

// Decide closes the slot that has ended and returns the decision for a deployment of the
// given number of VMs.
func (j *Judge) Decide(now ident.Instant, vms int, capacity Capacity) Guidance {
	j.closeSlot(now)
	if !j.stage.Final() {
		j.advance(now, vms, capacity)
	}
	return Guidance{Service: j.order.Service, Order: j.order.ID, Stage: j.stage, Step: j.step, Reason: j.reason}
}

// countHeard returns how many VMs reported within silentAfter, and whether a VM that
// reported within absentAfter may still have requests in flight to other versions.
func (j *Judge) countHeard(now ident.Instant) (heard int, othersInUse bool) {
	for _, v := range j.vms {
		silence := now.Sub(v.heard)
		if silence < silentAfter {
			heard++
		}
		if silence < absentAfter && (v.step != Takeover || v.othersInFlight > 0 || silence >= silentAfter) {
			othersInUse = true
		}
	}
	return heard, othersInUse
}

// closeSlot compares the versions over the current slot once its time has passed, and
// convicts the target if it is bad.
func (j *Judge) closeSlot(now ident.Instant) {
	if now.Sub(j.slotStart) < slotLength {
		return
	}
	j.slotStart = now
	if len(j.current) == 0 {
		return
	}
	s := j.compare()
	clear(j.current)
	if len(s) == 0 {
		return
	}
	for i := range s {
		j.compared += s[i].all[slowAnswers]
	}
	j.slots = append(j.slots, s)
	if len(j.slots) > maxSlots {
		j.slots = j.slots[1:]
	}
	_, j.suspect = convict(j.slots, suspicion)
	if found, bad := convict(j.slots, conviction); bad && !j.stage.Final() {
		j.stage = RolledBack
		j.reason = fmt.Sprintf("%s; age %v, step %v, %d VMs", found, now.Sub(j.began).Round(time.Millisecond), j.step, len(j.vms))
	}
}
