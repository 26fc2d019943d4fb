package usage

import (
	"math/bits"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/tenant"
)

const (
	// Of a lease, the share collectShare passes until the grantor collects again.
	collectShare = 0.45
	// A lease takes leaseTime for up to leaseVMs VMs and grows with their number, so that
	// the questions a second of a grantor do not, up to maxLease.
	leaseTime = 1200 * time.Millisecond
	leaseVMs  = 64
	maxLease  = 10 * time.Second
	// holdTime bounds the time for which a request waits for the grantor's answer.
	holdTime = 250 * time.Millisecond
	// informInterval is the time after which a VM that did not answer is informed again.
	informInterval = 100 * time.Millisecond
	// suspicionTime is how long a VM that did not answer is not asked. It doubles with each
	// further failure, up to maxSuspicionTime, and ends with the next message of the VM.
	suspicionTime    = time.Second
	maxSuspicionTime = 16 * time.Second
	// A VM is no grantor until settleTime after its start, when all VMs have read that it
	// started. VMs that started within startSpread of the oldest one are alike.
	settleTime  = 15 * time.Second
	startSpread = 3 * time.Second
	// The tenants of a group have the same grantor. There is a group for each vmsPerGroup
	// VMs, at least minGroups. Fewer groups need fewer messages; with more, each grantor
	// sends less, and fewer tenants depend on it.
	minGroups   = 8
	vmsPerGroup = 8
	// countTime is how long VMs that left the list are still counted, since the others
	// notice it at different times.
	countTime = 30 * time.Second
	// maxWaiting is the most requests of a tenant that wait for tokens on one VM.
	maxWaiting = 64
	// unreachableWait is the Retry-After of a request that no grantor answered.
	unreachableWait = 300 * time.Millisecond
	// Once the grantor has answered, a request waits for at most shortWait.
	shortWait = 30 * time.Millisecond
)

// Bounds say how exactly caps hold over all VMs. The zero value has no allowance.
type Bounds struct {
	// In any window of this length, the requests of a tenant stay below its cap times
	// 1 + Overshoot, plus Allowance.
	Window    time.Duration
	Overshoot float64
	Allowance ident.Tokens
}

const (
	// Of what the bounds allow beyond the cap, marginShare of the whole is kept back, but
	// at most half, for VMs that count the VMs differently.
	marginShare = 0.05
	// burstShare is the part of the rest that is added to the burst; the other part is
	// added to the rate.
	burstShare = 1.0 / 6
)

// enforced returns the rate and the burst that the shares sum to. In no window do they
// admit more than the bounds allow, and they use what the bounds allow beyond the cap, so
// that no request is refused that need not be.
func (b Bounds) enforced(t *tenant.Tenant) (ident.Rate, ident.Tokens) {
	burst := max(t.Burst, 1)
	window := ident.Tokens(b.Window.Seconds())
	if window <= 0 {
		return t.Rate, burst
	}
	full := ident.Tokens(t.Rate)*window + burst
	beyond := full*ident.Tokens(b.Overshoot) + b.Allowance
	used := beyond - min(marginShare*(full+beyond), beyond/2)
	return t.Rate + ident.Rate(used*(1-burstShare)/window), burst + used*burstShare
}

// Config holds what a Ledger is created with.
type Config struct {
	VM ident.VMID
	// Incarnation numbers the processes of the VM. The others know it from the list of VMs.
	Incarnation ident.Incarnation
	Started     ident.Instant
	// FirstStart is true if the whole deployment starts for the first time, so that no
	// earlier process has used or lent a share.
	FirstStart bool
}

// A Peer is another VM.
type Peer struct {
	VM      ident.VMID
	Address string
	// Started is when the process of the VM started.
	Started ident.Instant
}

type peerState struct {
	address        string
	started        ident.Instant
	suspectedUntil ident.Instant
	// failures counts the questions without an answer since the last message of the VM.
	failures int
	// asks, collects and returns are those of the next question. The question is sent when
	// the one before it has ended.
	asks, collects []ident.TenantID
	returns        []Return
	// informed is true once the VM has dropped the loans of an earlier process of this VM.
	informed bool
	// informAt is when to inform the VM next.
	informAt ident.Instant
	// outstanding is the question without an answer so far; nil if there is none.
	outstanding *Message
}

// A Verdict is the decision on a request that arrives.
type Verdict uint8

// The verdicts.
const (
	// Admitted means that the request has taken a token.
	Admitted Verdict = iota
	// Waiting means that a Decision follows.
	Waiting
	// Refused means that the tenant is over its cap.
	Refused
)

// A Ledger is one VM's part in the usage caps of all tenants. Tenants without a cap have no
// account. Use New to create one.
type Ledger struct {
	config   Config
	accounts map[ident.TenantID]*account
	peers    map[ident.VMID]*peerState
	// processes holds the latest known process of each other VM.
	processes map[ident.VMID]process
	// nextLoan is higher than the loan numbers of earlier processes, since it starts with
	// the time of the start.
	nextLoan LoanNumber
	// count is the number of VMs that share the caps, at least 1. It falls only at
	// fallsAt.
	count   int
	listed  int
	fallsAt ident.Instant
	lease   time.Duration
	// oldest is the earliest start of a VM, this one included.
	oldest ident.Instant
	// groups is the number of groups of tenants with the same grantor.
	groups int
	// The VM's shares accrue no tokens before withheldUntil, while an earlier process of
	// the VM may have lent them. It is set to the present once all VMs are informed.
	withheldUntil ident.Instant
	// Answers to questions sent before discardedAt are ignored.
	discardedAt ident.Instant
	nextCollect ident.Instant
	// tenants are those of the last Install. Accounts of removed tenants are deleted at
	// purgeAt.
	tenants []tenant.Tenant
	purgeAt ident.Instant
	// installed is true after the first Install.
	installed bool
	// wakeAt is the earliest instant at which something is due.
	wakeAt ident.Instant
	// leaving is true after Leave: the VM is no grantor any more.
	leaving bool
	// queued is true if a question may be due.
	queued    bool
	decisions []Decision
}

// New returns a Ledger without accounts.
func New(config Config) *Ledger {
	return &Ledger{
		config: config, accounts: map[ident.TenantID]*account{}, peers: map[ident.VMID]*peerState{},
		processes: map[ident.VMID]process{}, nextLoan: LoanNumber(max(config.Started, 0)),
		count: 1, lease: leaseTime, groups: minGroups, wakeAt: ident.Never,
	}
}

// Idle reports whether no tenant has a cap.
func (l *Ledger) Idle() bool { return len(l.accounts) == 0 }

// Install sets the tenants and the other VMs. vms is the number of all VMs that may serve
// requests, including this one.
func (l *Ledger) Install(now ident.Instant, tenants []tenant.Tenant, peers []Peer, vms int, bounds Bounds) {
	l.setPeers(now, peers)
	l.setCount(now, max(vms, len(peers)+1))
	if !l.config.FirstStart && !l.installed {
		l.withheldUntil = l.config.Started.Add(l.lease)
	}
	unused := l.installed || l.config.FirstStart
	l.installed, l.queued = true, true
	l.endWithholding(now)
	if sameList(tenants, l.tenants) && now < l.purgeAt {
		return
	}
	l.tenants, l.purgeAt = tenants, ident.Never
	known := make(map[ident.TenantID]bool, len(tenants))
	for i := range tenants {
		t := &tenants[i]
		if !t.Capped() || known[t.ID] {
			continue
		}
		known[t.ID] = true
		rate, capacity := bounds.enforced(t)
		a := l.accounts[t.ID]
		if a == nil {
			a = &account{tenant: t.ID, accruedAt: now, askAt: ident.Never}
			if unused {
				a.tokens = capacity / ident.Tokens(l.count)
			}
			l.accounts[t.ID] = a
		}
		l.accrue(now, a)
		if capacity < a.capacity {
			a.tokens *= capacity / a.capacity
		}
		a.rate, a.capacity, a.removedAt = rate, capacity, 0
	}
	for id, a := range l.accounts {
		switch {
		case known[id]:
		case a.removedAt == 0:
			l.admitAll(a)
			a.removedAt = now
			l.purgeAt = now.Add(countTime)
		case now.Sub(a.removedAt) >= countTime:
			delete(l.accounts, id)
		default:
			l.purgeAt = min(l.purgeAt, a.removedAt.Add(countTime))
		}
	}
}

// sameList reports whether two lists are one, as they are in the views of one version of
// the configuration.
func sameList(a, b []tenant.Tenant) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// endWithholding lets the shares accrue tokens once no VM holds a loan of an earlier
// process.
func (l *Ledger) endWithholding(now ident.Instant) {
	if now >= l.withheldUntil || l.discardedAt > 0 {
		return
	}
	for _, p := range l.peers {
		if !p.informed {
			return
		}
	}
	l.withheldUntil = now
}

// account returns the account of a tenant; nil if the tenant has no cap.
func (l *Ledger) account(id ident.TenantID) *account {
	if a := l.accounts[id]; a != nil && a.removedAt == 0 {
		return a
	}
	return nil
}

// schedule makes Wake return at the latest at.
func (l *Ledger) schedule(at ident.Instant) { l.wakeAt = min(l.wakeAt, at) }

// setPeers replaces the list of other VMs.
func (l *Ledger) setPeers(now ident.Instant, peers []Peer) {
	changed := len(peers) != len(l.peers)
	listed := make(map[ident.VMID]bool, len(peers))
	l.oldest = l.config.Started
	for _, p := range peers {
		listed[p.VM] = true
		l.oldest = min(l.oldest, p.Started)
		l.current(now, p.VM, ident.Incarnation(max(p.Started, 0)))
		if state := l.peers[p.VM]; state != nil {
			state.address, state.started = p.Address, p.Started
			continue
		}
		l.peers[p.VM], changed = &peerState{address: p.Address, started: p.Started}, true
	}
	if !changed {
		return
	}
	for vm, p := range l.peers {
		if listed[vm] {
			continue
		}
		for _, id := range p.asks {
			if a := l.accounts[id]; a != nil {
				a.asking = false
			}
		}
		delete(l.peers, vm)
	}
	l.forgetProcesses(now, listed)
	l.forgetOrders()
}

func (l *Ledger) forgetOrders() {
	for _, a := range l.accounts {
		a.order = nil
	}
}

// groupsOf returns the number of groups of tenants, a power of two so that it seldom
// changes.
func groupsOf(vms int) int {
	return max(minGroups, 1<<bits.Len(uint(vms-1))/vmsPerGroup)
}

// setCount sets the number of VMs that share the caps. It rises at once and falls late.
func (l *Ledger) setCount(now ident.Instant, vms int) {
	if vms < l.count && l.listed != vms {
		l.fallsAt = now.Add(countTime)
	}
	l.listed = vms
	if vms > l.count || (vms < l.count && now >= l.fallsAt) {
		for _, a := range l.accounts {
			l.accrue(now, a)
		}
		l.count = vms
	}
	if groups := groupsOf(l.count); groups != l.groups {
		l.groups = groups
		l.forgetOrders()
	}
	l.lease = min(max(leaseTime, leaseTime*time.Duration(l.count)/leaseVMs), maxLease)
}

// Discard drops all tokens and loans. It is called when the VM cannot say how much time has
// passed since its last decision.
func (l *Ledger) Discard(now ident.Instant) {
	l.withheldUntil, l.discardedAt = now.Add(l.lease), now
	for _, a := range l.accounts {
		a.tokens, a.accruedAt, a.pool, a.dryUntil = 0, now, nil, 0
	}
}

// Admit decides on a request of a tenant. If it waits, a Decision on the query follows.
func (l *Ledger) Admit(now ident.Instant, id ident.TenantID, query ident.QueryID) (Verdict, Refusal) {
	a := l.account(id)
	if a == nil {
		return Admitted, Refusal{}
	}
	l.accrue(now, a)
	a.usedAt = now
	a.demand.count(now)
	if len(a.waiting) == 0 && a.tokens >= 1 {
		a.tokens--
		if a.tokens < 1 || a.tokens < a.target(now)/2 {
			l.ask(now, a)
		}
		return Admitted, Refusal{}
	}
	if now < a.dryUntil || len(a.waiting) >= maxWaiting {
		return Refused, l.refusal(now, a)
	}
	a.waiting = append(a.waiting, waitingRequest{query, now.Add(holdTime)})
	l.schedule(now.Add(holdTime))
	l.ask(now, a)
	return Waiting, Refusal{}
}

// Forget ends the wait of a request.
func (l *Ledger) Forget(id ident.TenantID, query ident.QueryID) {
	if a := l.accounts[id]; a != nil {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool { return w.query == query })
	}
}

// Decisions appends to buf the decisions since the previous call.
func (l *Ledger) Decisions(buf []Decision) []Decision {
	buf = append(buf, l.decisions...)
	l.decisions = l.decisions[:0]
	return buf
}

// refusal describes the state of a cap, and assigns the caller a time to return that no
// other caller on this VM got.
func (l *Ledger) refusal(now ident.Instant, a *account) Refusal {
	r := Refusal{Tokens: a.tokens, Age: -1, Grantor: l.grantor(now, a)}
	if a.answeredAt > 0 {
		r.Age = now.Sub(a.answeredAt)
	}
	step := ident.Span(1/float64(a.rate), time.Second)
	a.retryAt = max(a.dryUntil, now.Add(time.Millisecond), a.retryAt.Add(step))
	a.retryAt = min(a.retryAt, now.Add(maxRetryAfter))
	r.RetryAfter = a.retryAt.Sub(now)
	return r
}

// maxRetryAfter bounds the time after which callers that were refused may return.
const maxRetryAfter = 5 * time.Second

// serve admits the requests for which there are tokens.
func (l *Ledger) serve(now ident.Instant, a *account) {
	for len(a.waiting) > 0 && a.tokens >= 1 {
		a.tokens--
		l.decisions = append(l.decisions, Decision{Query: a.waiting[0].query, Admitted: true})
		a.waiting = a.waiting[1:]
	}
	if len(a.waiting) == 0 {
		a.waiting, a.askAt = nil, ident.Never
		// Tokens that came too late for their requests are not kept.
		a.tokens = min(a.tokens, max(a.target(now), a.capacity/ident.Tokens(l.count)))
	}
}

func (l *Ledger) refuseAll(now ident.Instant, a *account) {
	for _, w := range a.waiting {
		l.decisions = append(l.decisions, Decision{Query: w.query, Refusal: l.refusal(now, a)})
	}
	a.waiting, a.askAt = nil, ident.Never
}

// admitAll admits the waiting requests of a tenant that has no cap any more.
func (l *Ledger) admitAll(a *account) {
	for _, w := range a.waiting {
		l.decisions = append(l.decisions, Decision{Query: w.query, Admitted: true})
	}
	a.waiting = nil
}
