package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// judges is the number of VMs that join the reports about a service.
	judges = 2
	// failedTime is how long a VM gets no reports after maxFailures in a row were not
	// answered.
	failedTime  = 5 * time.Second
	maxFailures = 2
	// advancePart is the part of the share of the requests still to come that may be used
	// at Most.
	advancePart = 0.3
	// freshPart is the part of Bounds.Within for which a decision holds without a judge's
	// confirmation.
	freshPart = 0.5
	// writeTurn is the time after which the next VM in the order writes a stage that the
	// store does not hold. At most maxTurns turns pass.
	writeTurn = 2 * time.Second
	maxTurns  = 10
)

// A Ranking orders all VMs that may be sending, in the same way on each VM.
type Ranking interface {
	// First returns the first n VMs for a service, without those to skip.
	First(service ident.ServiceID, n int, skip func(ident.VMID) bool) []ident.VMID
	// Rank returns the position of this VM.
	Rank(service ident.ServiceID) int
	// Len returns the number of VMs.
	Len() int
}

// A Manager holds the orders that one VM knows, and acts as a judge for other VMs. It is
// not safe for concurrent use.
type Manager struct {
	Self        ident.VMID
	Incarnation ident.Incarnation
	Bounds      Bounds

	services map[ident.ServiceID]*state
	// listed is true once the orders were listed.
	listed      bool
	failedUntil map[ident.VMID]ident.Instant
	// failures counts the latest reports to a VM that were not answered.
	failures map[ident.VMID]int
	sequence uint64
	events   []Event
	// changed is true if the results of Apply have changed since Changed was called.
	changed bool
}

// A state is what a Manager knows about one service.
type state struct {
	// ordered is true while there is an order, which may be final.
	ordered bool
	order   Order
	readAt  ident.Instant
	stage   Stage
	reason  string
	step    Step
	// stepAt is when this VM entered the step.
	stepAt ident.Instant
	// allowance is this VM's part of Bounds.Allowance.
	allowance float64
	// confirmedAt is when a judge last answered; the zero value means never.
	confirmedAt ident.Instant
	// wantedSince is when stage became a stage that the store does not hold.
	wantedSince ident.Instant
	evidence    Evidence
	judge       *Judge
	versions    Versions
	list        []Listed
	// alone is true if only replicas of the target are listed.
	alone bool
	// followed is true if this VM knew the order before it was final, arrived if it saw the
	// order arriving.
	followed, arrived bool
	// replaced holds the versions that the completion of the order barred.
	replaced []ident.Software
}

// An Event is a change of an order's stage or step on this VM.
type Event struct {
	Order  Order
	Stage  Stage
	Step   Step
	Reason string
	Age    time.Duration
}

// Listed reports whether the orders were listed.
func (m *Manager) Listed() bool { return m.listed }

// SetOrders replaces all orders. A VM gets a part of the allowance only for orders that it
// saw arriving, so that a restarted VM does not spend it twice.
func (m *Manager) SetOrders(now ident.Instant, orders []Order, vms int) {
	if m.services == nil {
		m.services, m.failedUntil = map[ident.ServiceID]*state{}, map[ident.VMID]ident.Instant{}
		m.failures = map[ident.VMID]int{}
	}
	named := map[ident.ServiceID]bool{}
	for _, o := range orders {
		named[o.Service] = true
		m.setOrder(now, o, vms)
	}
	for id, s := range m.services {
		if s.ordered && !named[id] {
			m.withdraw(now, s)
		}
	}
	m.listed = true
}

func (m *Manager) service(id ident.ServiceID) *state {
	s := m.services[id]
	if s == nil {
		s = &state{}
		m.services[id] = s
	}
	return s
}

func (m *Manager) setOrder(now ident.Instant, o Order, vms int) {
	s := m.service(o.Service)
	if s.ordered && s.order.ID == o.ID {
		s.order.Stored, s.order.Duration = o.Stored, o.Duration
	} else {
		if s.ordered {
			m.withdraw(now, s)
		}
		s.ordered, s.order, s.readAt, s.stage, s.step, s.reason = true, o, now, InProgress, Held, ""
		s.confirmedAt, s.wantedSince, s.evidence, s.judge, s.allowance = 0, now, Evidence{}, nil, 0
		s.followed, s.arrived, s.replaced = !o.Stored.Final(), m.listed && o.Stored == Pending, nil
		if s.arrived {
			s.allowance = float64(m.Bounds.Allowance) / float64(max(vms, 1)+1)
		}
		m.record(now, s, "ordered")
	}
	// The store decides between final stages: by its word the replicas are stopped.
	if o.Stored.Final() && s.stage != o.Stored {
		m.conclude(now, s, o.Stored, "stored by another VM")
	}
}

// withdraw handles an order that was deleted or replaced by another.
func (m *Manager) withdraw(now ident.Instant, s *state) {
	if !s.stage.Final() {
		s.versions.Bar(s.order.ID.Target)
		m.record(now, s, "withdrawn")
	}
	s.ordered, s.judge = false, nil
}

// conclude puts a final stage into force.
func (m *Manager) conclude(now ident.Instant, s *state, stage Stage, reason string) {
	s.stage, s.reason, s.wantedSince, m.changed = stage, reason, now, true
	if stage == Completed {
		s.step = Takeover
		s.replaced = s.versions.Establish(s.order.ID.Target, s.followed)
	} else {
		s.step = Held
		s.versions.Bar(s.order.ID.Target)
		for _, v := range s.replaced {
			s.versions.Establish(v, false)
		}
	}
	m.record(now, s, reason)
}

func (m *Manager) record(now ident.Instant, s *state, reason string) {
	m.events = append(m.events, Event{s.order, s.stage, s.step, reason, now.Sub(s.readAt)})
}

// Events returns the events since the last call.
func (m *Manager) Events() []Event {
	out := m.events
	m.events = nil
	return out
}

// Apply processes the replicas of a service. It returns the plan for the service, nil if
// no order restricts it, a function that reports whether a version gets no requests, and
// when Apply must be called again.
func (m *Manager) Apply(now ident.Instant, id ident.ServiceID, list []Listed) (*Plan, func(ident.Software) bool, ident.Instant) {
	s := m.service(id)
	if s.ordered && s.stage == RolledBack {
		// The bar also holds for replicas that come back, and on a VM that restarted.
		s.versions.Bar(s.order.ID.Target)
	}
	running := s.ordered && !s.stage.Final()
	target := s.order.ID.Target
	s.list = list
	s.alone = running && len(list) > 0 && !s.hasOther(list, target)
	next := s.versions.Update(now, list, target, running)
	withheld := func(v ident.Software) bool {
		if running && v == target {
			return false
		}
		return !s.versions.Admits(v) && s.hasOther(list, v)
	}
	if !running {
		return nil, withheld, next
	}
	step := m.stepInForce(now, s)
	if until := s.confirmedAt.Add(m.freshTime()); step != Held && step != Takeover {
		next = min(next, until)
	}
	plan := &Plan{Order: s.order.ID, Step: step, Share: m.Bounds.Share, Allowance: s.allowance}
	if age := s.stepAt.Sub(s.readAt); step == Most && s.arrived && age > 0 {
		plan.Advance = advancePart * float64(m.Bounds.Share) * max(0, float64(s.order.Duration-age)/float64(age))
	}
	return plan, withheld, next
}

// capacity returns the capacity of the target and of the other versions.
func (s *state) capacity(now ident.Instant) Capacity {
	c := Capacity{}
	for i := range s.list {
		l := &s.list[i]
		switch {
		case l.Leaving || now < l.ColdUntil:
		case l.Software == s.order.ID.Target:
			c.Target += l.Slots
		default:
			c.Others += l.Slots
		}
	}
	return c
}

// hasOther reports whether a replica of another version than v is listed. The only version
// that is listed is never withheld.
func (s *state) hasOther(list []Listed, v ident.Software) bool {
	return slices.ContainsFunc(list, func(l Listed) bool { return l.Software != v })
}

func (m *Manager) freshTime() time.Duration { return scale(m.Bounds.Within, freshPart) }

// stepInForce returns the step that this VM follows. A step that no judge has confirmed
// recently is Held, except Takeover: the other versions may end at any time then.
func (m *Manager) stepInForce(now ident.Instant, s *state) Step {
	switch {
	case s.alone:
		return Takeover
	case s.step == Takeover:
		return Takeover
	case s.confirmedAt == 0 || now >= s.confirmedAt.Add(m.freshTime()):
		return Held
	}
	return s.step
}

// AddEvidence processes what this VM's traffic reports.
func (m *Manager) AddEvidence(e Evidence) {
	if s := m.services[e.Service]; s != nil && s.ordered && s.order.ID == e.Order {
		s.evidence = e
	}
}

// An Outgoing is a message with the reports for one judge.
type Outgoing struct {
	To      ident.VMID
	Reports []Report
}

// Reports returns the reports to send now, none while no order is in progress. Reports to
// this VM itself are answered at once.
func (m *Manager) Reports(now ident.Instant, r Ranking) []Outgoing {
	to := map[ident.VMID][]Report{}
	for _, id := range sortedServices(m.services) {
		s := m.services[id]
		if !s.ordered || s.order.Stored.Final() {
			continue
		}
		m.sequence++
		report := Report{
			VM: m.Self, Incarnation: m.Incarnation, Sequence: m.sequence, Evidence: s.evidence,
			Stage: s.stage, Reason: s.reason, Age: now.Sub(s.readAt),
		}
		report.Service, report.Order = id, s.order.ID
		if !s.stage.Final() && s.evidence.Order != s.order.ID {
			report.Step = Held
		}
		for _, vm := range m.judgesOf(now, id, r) {
			if vm == m.Self {
				m.Guide(now, vm, []Guidance{m.Receive(now, &report, r)}, r)
				continue
			}
			to[vm] = append(to[vm], report)
		}
	}
	out := make([]Outgoing, 0, len(to))
	for vm, reports := range to {
		out = append(out, Outgoing{vm, reports})
	}
	slices.SortFunc(out, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return out
}

// judgesOf returns the VMs that get the reports about a service: the first ones that answer,
// and the first one in any case, so that it soon counts again after a failure.
func (m *Manager) judgesOf(now ident.Instant, id ident.ServiceID, r Ranking) []ident.VMID {
	answering := r.First(id, judges, func(vm ident.VMID) bool { return now < m.failedUntil[vm] })
	first := r.First(id, 1, func(ident.VMID) bool { return false })
	if len(first) == 0 || slices.Contains(answering, first[0]) {
		return answering
	}
	return append(first, answering...)
}

// Receive processes a report as a judge and returns the decision. A judge that does not
// know the order, or knows a later one, answers Pending.
func (m *Manager) Receive(now ident.Instant, r *Report, ranking Ranking) Guidance {
	s := m.services[r.Service]
	if s == nil || !s.ordered || s.order.ID != r.Order {
		return Guidance{Service: r.Service, Order: r.Order, Stage: Pending}
	}
	if s.judge == nil {
		s.judge = NewJudge(now, s.readAt, s.order)
	}
	s.judge.Receive(now, r)
	g := s.judge.Decide(now, ranking.Len(), s.capacity(now))
	if s.order.Stored.Final() {
		g.Stage, g.Reason = s.order.Stored, s.reason
	}
	return g
}

// Guide processes the answer of a judge. Of two judges that advance differently, the first
// in the order counts; a final stage counts from any.
func (m *Manager) Guide(now ident.Instant, from ident.VMID, answers []Guidance, r Ranking) {
	for _, g := range answers {
		s := m.services[g.Service]
		if s == nil || !s.ordered || s.order.ID != g.Order || !s.mayBecome(g.Stage) {
			continue
		}
		if g.Stage == Pending {
			m.Failed(now, from)
			continue
		}
		delete(m.failures, from)
		delete(m.failedUntil, from)
		before := m.stepInForce(now, s)
		leading := r.First(g.Service, 1, func(vm ident.VMID) bool { return now < m.failedUntil[vm] })
		if len(leading) > 0 && leading[0] == from {
			s.confirmedAt = now
			if g.Step > s.step && g.Stage == InProgress {
				s.step, s.stepAt = g.Step, now
				m.record(now, s, g.Reason)
			}
		}
		if g.Stage.Final() {
			m.conclude(now, s, g.Stage, g.Reason)
		}
		m.changed = m.changed || m.stepInForce(now, s) != before
	}
}

// mayBecome reports whether the decision of a judge may change the stage. Of two final
// stages a roll-back holds, until the store holds one.
func (s *state) mayBecome(next Stage) bool {
	return !s.stage.Final() || (s.stage == Completed && next == RolledBack && !s.order.Stored.Final())
}

// Changed reports whether the results of Apply have changed since the last call, but for
// those that SetOrders changed.
func (m *Manager) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Failed records that a VM did not answer a report.
func (m *Manager) Failed(now ident.Instant, vm ident.VMID) {
	if m.failures == nil {
		return
	}
	if m.failures[vm]++; m.failures[vm] >= maxFailures {
		m.failedUntil[vm] = now.Add(failedTime)
		delete(m.failures, vm)
	}
}

// A Write is a stage that this VM should write to the store.
type Write struct {
	Order Order
	Stage Stage
}

// Writes returns the stages to write. The first VM in the order of the service writes at
// once, each next one a turn later if the store does not hold the stage by then. All
// writes are conditional, so that several writers do no harm.
func (m *Manager) Writes(now ident.Instant, r Ranking) []Write {
	var out []Write
	for _, id := range sortedServices(m.services) {
		s := m.services[id]
		if !s.ordered || s.stage == s.order.Stored || s.order.Stored.Final() {
			continue
		}
		if turn := min(r.Rank(id), maxTurns); now.Sub(s.wantedSince) >= time.Duration(turn)*writeTurn {
			out = append(out, Write{s.order, s.stage})
		}
	}
	return out
}

// Active reports whether an order needs reports or writes.
func (m *Manager) Active() bool {
	for _, s := range m.services {
		if s.ordered && !s.order.Stored.Final() {
			return true
		}
	}
	return false
}

// A Status is the state of an order as one VM knows it.
type Status struct {
	Order    Order
	Stage    Stage
	Step     Step
	Reason   string
	Age      time.Duration
	Capacity Capacity
	Evidence Evidence
}

// Statuses returns the state of all orders, ordered by service.
func (m *Manager) Statuses(now ident.Instant) []Status {
	var out []Status
	for _, id := range sortedServices(m.services) {
		if s := m.services[id]; s.ordered {
			out = append(out, Status{s.order, s.stage, m.stepInForce(now, s), s.reason, now.Sub(s.readAt), s.capacity(now), s.evidence})
		}
	}
	return out
}

func sortedServices(services map[ident.ServiceID]*state) []ident.ServiceID {
	return slices.Sorted(maps.Keys(services))
}
