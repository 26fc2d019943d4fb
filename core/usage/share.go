package usage

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// spareTime is the time of demand for which a VM holds tokens.
	spareTime = 250 * time.Millisecond
	// demandSpan is the span over which a VM's demand is averaged.
	demandSpan = time.Second
	// keepTime is how long after its last use a VM keeps tokens of a tenant.
	keepTime = 10 * time.Second
)

// A waitingRequest has no token yet.
type waitingRequest struct {
	query ident.QueryID
	until ident.Instant
}

// An account is a VM's state of one tenant with a cap.
type account struct {
	tenant ident.TenantID
	// rate and capacity are those of all shares together.
	rate     ident.Rate
	capacity ident.Tokens
	// tokens are those that requests on this VM may use.
	tokens    ident.Tokens
	accruedAt ident.Instant
	// The share is lent to lentTo as loan until lentUntil, and accrues no tokens for so long.
	lentTo    ident.VMID
	loan      LoanNumber
	lentUntil ident.Instant
	// collectedAt is when the first VM in the order of grantors last collected the share.
	collectedAt ident.Instant
	usedAt      ident.Instant
	demand      demand
	// waiting is ordered by arrival.
	waiting []waitingRequest
	// While asking is true, an ask is queued or on its way. askAt is when to ask again;
	// ident.Never if that is not planned.
	asking bool
	askAt  ident.Instant
	// Until dryUntil, the grantor is known to have no token for this VM.
	dryUntil ident.Instant
	// retryAt is when the caller that was last refused may return.
	retryAt ident.Instant
	// answeredAt is when the grantor last answered; 0 if it never did.
	answeredAt ident.Instant
	// order is the order of grantors; nil after a change of the VMs.
	order []ident.VMID
	// removedAt is when the cap was removed; 0 if it is in force.
	removedAt ident.Instant
	// pool is nil unless this VM is the grantor.
	pool *pool
}

// A demand is the moving average of the rate of a tenant's requests on this VM.
type demand struct {
	rate ident.Rate
	at   ident.Instant
}

func (d *demand) count(now ident.Instant) {
	d.rate = d.current(now) + ident.Rate(1/demandSpan.Seconds())
	d.at = now
}

func (d *demand) current(now ident.Instant) ident.Rate {
	return d.rate * ident.Rate(math.Exp(-now.Sub(d.at).Seconds()/demandSpan.Seconds()))
}

// target returns the tokens that the VM wants to hold.
func (a *account) target(now ident.Instant) ident.Tokens {
	if a.usedAt == 0 || now.Sub(a.usedAt) > keepTime {
		return 0
	}
	return 1 + ident.Tokens(float64(a.demand.current(now))*spareTime.Seconds())
}

// accrue adds the tokens of the VM's own share up to now. At the end of a loan, tokens
// beyond the share are dropped, since the grantor counts them no longer.
func (l *Ledger) accrue(now ident.Instant, a *account) {
	capacity := a.capacity / ident.Tokens(l.count)
	if a.accruedAt < a.lentUntil && now >= a.lentUntil {
		a.tokens = min(a.tokens, capacity)
	}
	from := max(a.accruedAt, a.lentUntil, l.withheldUntil)
	if now > from {
		added := ident.Tokens(float64(a.rate)/float64(l.count)) * ident.Tokens(now.Sub(from).Seconds())
		a.tokens = max(a.tokens, min(a.tokens+added, capacity))
	}
	a.accruedAt = max(a.accruedAt, now)
}

// Return gives back the token of a request, taken at taken, that reached no replica. Later
// than at taken it has no effect: the share may have accrued the token again.
func (l *Ledger) Return(now, taken ident.Instant, id ident.TenantID) {
	a := l.account(id)
	if a == nil || now != taken {
		return
	}
	l.accrue(now, a)
	if a.lentTo != l.config.VM && a.lentUntil == now.Add(l.lease) {
		// The share was lent in between.
		return
	}
	a.tokens++
	if a.pool != nil {
		a.pool.hold(now, l.config.VM, a.tokens)
	}
	l.serve(now, a)
}

// lend passes the VM's share of a cap to a grantor. Only the first VM in the order of
// grantors may borrow it, or another one if the first has not asked for the time of a lease.
func (l *Ledger) lend(now ident.Instant, a *account, to ident.VMID) (Loan, bool) {
	l.accrue(now, a)
	first := l.grantor(now, a)
	if to == first {
		a.collectedAt = now
	}
	lentToOther := now < a.lentUntil && a.lentTo != to
	if now < l.withheldUntil || lentToOther || (to != first && now.Sub(a.collectedAt) < l.lease) {
		return Loan{}, false
	}
	kept := min(a.tokens, a.target(now))
	loan := Loan{
		Tenant: a.tenant, Number: l.nextLoan, Rate: a.rate / ident.Rate(l.count), Capacity: a.capacity / ident.Tokens(l.count),
		Held: kept, Tokens: a.tokens - kept, Lease: l.lease,
	}
	a.tokens, a.lentTo, a.loan, a.lentUntil = kept, to, l.nextLoan, now.Add(l.lease)
	l.nextLoan++
	return loan, true
}

// endLoan ends a loan before its lease does, unless the share was lent again since.
func (l *Ledger) endLoan(now ident.Instant, a *account, from ident.VMID, r Return) {
	if a.lentTo != from || a.loan != r.Number || now >= a.lentUntil {
		return
	}
	a.lentUntil, a.collectedAt = now, 0
	l.accrue(now, a)
	a.tokens = min(a.tokens+max(r.Tokens, 0), a.capacity/ident.Tokens(l.count))
}

// grantor returns the first VM in the tenant's order that is not suspected to be
// unreachable, or this VM if all others are.
func (l *Ledger) grantor(now ident.Instant, a *account) ident.VMID {
	if a.order == nil {
		a.order = l.grantorOrder(a.tenant)
	}
	young := l.config.VM
	for _, vm := range a.order {
		if (vm == l.config.VM && l.leaving) || (vm != l.config.VM && now < l.peers[vm].suspectedUntil) {
			continue
		}
		if l.settled(now, vm) {
			return vm
		}
		if young == l.config.VM {
			young = vm
		}
	}
	return young
}

// preferred returns the first VM in the tenant's order, whether or not it is suspected.
func (l *Ledger) preferred(now ident.Instant, a *account) ident.VMID {
	if a.order == nil {
		a.order = l.grantorOrder(a.tenant)
	}
	for _, vm := range a.order {
		if l.settled(now, vm) {
			return vm
		}
	}
	return l.config.VM
}

// settled reports whether a VM may be a grantor. All VMs change to a VM that started at the
// same time, since each of them knows when it did.
func (l *Ledger) settled(now ident.Instant, vm ident.VMID) bool {
	started := l.config.Started
	if p := l.peers[vm]; p != nil {
		started = p.started
	}
	return now.Sub(started) >= settleTime || started.Sub(l.oldest) <= startSpread
}

// grantorOrder returns this VM and its peers in the rendezvous order of a tenant's group.
func (l *Ledger) grantorOrder(tenant ident.TenantID) []ident.VMID {
	order := make([]ident.VMID, 0, len(l.peers)+1)
	order = append(order, l.config.VM)
	for vm := range l.peers {
		order = append(order, vm)
	}
	group := strconv.FormatUint(xxhash.Sum64String(string(tenant))%uint64(l.groups), 10)
	scores := make(map[ident.VMID]uint64, len(order))
	for _, vm := range order {
		scores[vm] = xxhash.Sum64String(group + "/" + string(vm))
	}
	slices.SortFunc(order, func(x, y ident.VMID) int {
		return cmp.Or(cmp.Compare(scores[y], scores[x]), cmp.Compare(x, y))
	})
	return order
}
