package usage

import (
	"maps"
	"slices"

	"carawaycross.example/carawaycross/core/ident"
)

// ask asks the tenant's grantor for tokens.
func (l *Ledger) ask(now ident.Instant, a *account) {
	g := l.grantor(now, a)
	if g == l.config.VM {
		l.answered(now, a, l.grant(now, a, g, l.askOf(now, a)))
		return
	}
	if a.asking {
		return
	}
	a.asking = true
	p := l.peers[g]
	p.asks = append(p.asks, a.tenant)
	l.queued = true
}

func (l *Ledger) askOf(now ident.Instant, a *account) Ask {
	l.accrue(now, a)
	need := max(len(a.waiting)-int(a.tokens), 0)
	return Ask{Tenant: a.tenant, Need: need, Spare: max(int(a.target(now)-a.tokens), 0), Held: a.tokens}
}

// grant answers an ask from this VM's pool and begins to collect the shares if the pool is
// new.
func (l *Ledger) grant(now ident.Instant, a *account, from ident.VMID, ask Ask) Grant {
	if a.pool == nil {
		a.pool = newPool(now)
		a.pool.preferred = l.preferred(now, a) == l.config.VM
		l.collect(now, a)
		a.pool.hurriedAt = now
		l.schedule(now.Add(hurryInterval))
	}
	a.pool.activeUntil = now.Add(activeTime)
	g := a.pool.grant(now, from, ask)
	g.Collecting = g.Collecting && len(l.peers) > 0
	return g
}

// collect borrows this VM's own share and queues questions for the others'.
func (l *Ledger) collect(now ident.Instant, a *account) {
	if loan, ok := l.lend(now, a, l.config.VM); ok {
		a.pool.add(now, now, l.config.VM, loan)
	}
	l.collectFrom(a, func(ident.VMID) bool { return true })
	l.queued = true
	l.schedule(l.nextCollect)
}

// collectFrom queues questions for the shares of the selected VMs.
func (l *Ledger) collectFrom(a *account, selected func(ident.VMID) bool) {
	for vm, p := range l.peers {
		if selected(vm) && !slices.Contains(p.collects, a.tenant) {
			p.collects = append(p.collects, a.tenant)
		}
	}
	l.queued = true
}

// hurry asks again for the shares that a new pool lacks: the grantor before it may have
// returned them meanwhile.
func (l *Ledger) hurry(now ident.Instant, a *account) {
	if now.Sub(a.pool.startedAt) > l.lease || now < a.pool.hurriedAt.Add(hurryInterval) || 2*len(a.pool.shares) > l.count {
		return
	}
	a.pool.hurriedAt = now
	l.collectFrom(a, func(vm ident.VMID) bool {
		_, has := a.pool.shares[vm]
		return !has && now >= l.peers[vm].suspectedUntil
	})
	l.schedule(now.Add(hurryInterval))
}

// dissolve ends the pool of a tenant and queues the returns to the lenders.
func (l *Ledger) dissolve(now ident.Instant, a *account) {
	for vm, r := range a.pool.dissolve(now, a.tenant) {
		if p := l.peers[vm]; p != nil {
			p.returns = append(p.returns, r)
		} else if vm == l.config.VM {
			l.endLoan(now, a, vm, r)
		}
	}
	a.pool = nil
	l.queued = true
}

// Leave gives all borrowed shares back, before the VM stops.
func (l *Ledger) Leave(now ident.Instant) {
	if l.leaving {
		return
	}
	l.leaving = true
	for _, a := range l.accounts {
		if a.pool != nil {
			l.dissolve(now, a)
		}
	}
}

// answered applies the answer of the grantor.
func (l *Ledger) answered(now ident.Instant, a *account, g Grant) {
	l.accrue(now, a)
	a.tokens += ident.Tokens(max(g.Tokens, 0))
	a.answeredAt = now
	l.serve(now, a)
	if len(a.waiting) == 0 {
		return
	}
	wait := min(max(g.Wait, 0), maxWait)
	if g.Collecting {
		wait = collectWait
	}
	if !g.Collecting {
		for i := range a.waiting {
			a.waiting[i].until = min(a.waiting[i].until, now.Add(shortWait))
		}
		l.schedule(a.waiting[0].until)
	}
	if now.Add(wait) < a.waiting[0].until {
		l.askLater(a, now.Add(max(wait, collectWait/2)))
		return
	}
	a.dryUntil = now.Add(wait)
	l.refuseAll(now, a)
}

func (l *Ledger) askLater(a *account, at ident.Instant) {
	a.askAt = at
	l.schedule(at)
}

// suspect lets other VMs be asked in place of one that did not answer.
func (l *Ledger) suspect(now ident.Instant, p *peerState) {
	p.suspectedUntil = now.Add(min(suspicionTime<<min(p.failures, 10), maxSuspicionTime))
	p.failures++
}

// Receive answers a question of another VM.
func (l *Ledger) Receive(now ident.Instant, from ident.VMID, m Message) Message {
	if !l.current(now, from, m.Incarnation) {
		return Message{Incarnation: l.config.Incarnation}
	}
	if p := l.peers[from]; p != nil && len(m.Asks)+len(m.Collects) > 0 {
		p.suspectedUntil, p.failures = 0, 0
	}
	for _, r := range m.Returns {
		if a := l.accounts[r.Tenant]; a != nil {
			l.endLoan(now, a, from, r)
		}
	}
	return Message{
		Incarnation: l.config.Incarnation, NoGrantor: len(m.Asks) > 0 && !l.grantsTokens(now),
		Grants: l.grants(now, from, m.Asks), Loans: l.loans(now, from, m.Collects),
	}
}

func (l *Ledger) grantsTokens(now ident.Instant) bool {
	return !l.leaving && l.settled(now, l.config.VM)
}

// grants answers asks; none if this VM is no grantor.
func (l *Ledger) grants(now ident.Instant, from ident.VMID, asks []Ask) []Grant {
	if !l.grantsTokens(now) {
		return nil
	}
	var out []Grant
	for _, ask := range asks {
		if a := l.account(ask.Tenant); a != nil {
			out = append(out, l.grant(now, a, from, ask))
		}
	}
	return out
}

// loans lends shares. A pool of this VM ends when the preferred grantor collects.
func (l *Ledger) loans(now ident.Instant, to ident.VMID, tenants []ident.TenantID) []Loan {
	var out []Loan
	for _, id := range tenants {
		a := l.account(id)
		if a == nil {
			continue
		}
		if a.pool != nil && l.preferred(now, a) == to {
			l.dissolve(now, a)
		}
		if loan, ok := l.lend(now, a, to); ok {
			out = append(out, loan)
		}
	}
	return out
}

// record records whether a VM answered.
func (l *Ledger) record(now ident.Instant, p *peerState, e *Exchange, ok bool) {
	p.outstanding = nil
	l.queued = true
	if !ok {
		// VMs that start together do not reach each other at once.
		if !e.Message.Restarted {
			l.suspect(now, p)
		}
		p.informAt = now.Add(informInterval)
		l.schedule(p.informAt)
		return
	}
	p.suspectedUntil, p.failures = 0, 0
	if e.Message.Restarted {
		p.informed = true
		l.endWithholding(now)
	}
}

// Complete applies the answer to an Exchange, or its failure if ok is false.
func (l *Ledger) Complete(now ident.Instant, e Exchange, answer Message, ok bool) {
	p := l.peers[e.To]
	ok = ok && l.current(now, e.To, answer.Incarnation)
	if p != nil {
		l.record(now, p, &e, ok)
	}
	for _, ask := range e.Message.Asks {
		if a := l.accounts[ask.Tenant]; a != nil {
			a.asking = false
		}
	}
	ok = ok && e.Sent >= l.discardedAt
	if ok {
		l.apply(now, &e, &answer)
	}
	if p != nil && ok && answer.NoGrantor {
		l.suspect(now, p)
	}
	for _, ask := range e.Message.Asks {
		granted := slices.ContainsFunc(answer.Grants, func(g Grant) bool { return g.Tenant == ask.Tenant })
		at := now
		if ok && !granted && !answer.NoGrantor {
			// The grantor does not know the tenant yet.
			at = now.Add(unknownTenantWait)
		}
		if a := l.accounts[ask.Tenant]; a != nil && len(a.waiting) > 0 && !a.asking && a.askAt == ident.Never {
			l.askLater(a, at)
		}
	}
}

// apply adds the tokens and shares of an answer.
func (l *Ledger) apply(now ident.Instant, e *Exchange, answer *Message) {
	for _, g := range answer.Grants {
		if a := l.account(g.Tenant); a != nil {
			l.answered(now, a, g)
		}
	}
	for _, loan := range answer.Loans {
		if a := l.account(loan.Tenant); a != nil && a.pool != nil && e.Sent.Add(loan.Lease) > now {
			a.pool.add(now, e.Sent, e.To, loan)
		}
	}
}

// Tick does what is due at now.
func (l *Ledger) Tick(now ident.Instant) {
	if now < l.wakeAt {
		return
	}
	l.wakeAt, l.queued = ident.Never, true
	collects := now >= l.nextCollect
	if collects {
		l.nextCollect = now.Add(ident.Span(collectShare, l.lease))
	}
	for _, id := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[id]
		l.tickWaiting(now, a)
		if a.pool == nil {
			continue
		}
		if now >= a.pool.activeUntil || (collects && a.pool.preferred && l.preferred(now, a) != l.config.VM) {
			l.dissolve(now, a)
			continue
		}
		if collects {
			l.collect(now, a)
		}
		l.hurry(now, a)
		l.schedule(l.nextCollect)
	}
}

// tickWaiting refuses the requests that waited too long, and asks again for the others if
// that is due.
func (l *Ledger) tickWaiting(now ident.Instant, a *account) {
	for len(a.waiting) > 0 && now >= a.waiting[0].until {
		if a.answeredAt == 0 || now.Sub(a.answeredAt) > holdTime {
			a.dryUntil = max(a.dryUntil, now.Add(unreachableWait))
		}
		l.decisions = append(l.decisions, Decision{Query: a.waiting[0].query, Refusal: l.refusal(now, a)})
		a.waiting = a.waiting[1:]
	}
	if len(a.waiting) == 0 {
		a.askAt = ident.Never
		return
	}
	l.schedule(a.waiting[0].until)
	if now < a.askAt {
		l.schedule(a.askAt)
		return
	}
	a.askAt = ident.Never
	l.ask(now, a)
}

// Wake returns the instant at which Tick must be called next.
func (l *Ledger) Wake() ident.Instant { return l.wakeAt }

// Exchanges appends to buf the questions that are due. At most one question to each VM is
// on its way; what comes meanwhile goes with the next one.
func (l *Ledger) Exchanges(now ident.Instant, buf []Exchange) []Exchange {
	if !l.queued {
		return buf
	}
	l.queued = false
	for _, vm := range slices.Sorted(maps.Keys(l.peers)) {
		p := l.peers[vm]
		restarted := !p.informed && now >= p.informAt && now < l.withheldUntil && l.discardedAt == 0
		if p.outstanding != nil || !restarted && len(p.asks)+len(p.collects)+len(p.returns) == 0 {
			continue
		}
		m := Message{Incarnation: l.config.Incarnation, Restarted: restarted, Returns: p.returns}
		for _, id := range p.asks {
			if a := l.accounts[id]; a != nil {
				m.Asks = append(m.Asks, l.askOf(now, a))
			}
		}
		for _, id := range p.collects {
			if a := l.accounts[id]; a != nil && a.pool != nil {
				m.Collects = append(m.Collects, id)
			}
		}
		p.asks, p.collects, p.returns = nil, nil, nil
		if m.empty() {
			continue
		}
		p.outstanding = &m
		buf = append(buf, Exchange{To: vm, Address: p.address, Sent: now, Message: m})
	}
	return buf
}
