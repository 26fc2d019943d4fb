package usage

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// activeTime is how long a grantor borrows shares after the last ask.
	activeTime = 15 * time.Second
	// collectTime is how long the first answers to a collection may take.
	collectTime = 60 * time.Millisecond
	// collectWait is the time after which to ask a grantor again that is collecting.
	collectWait = 10 * time.Millisecond
	// hurryInterval is the time after which a new pool asks again for the shares it lacks.
	hurryInterval = 100 * time.Millisecond
	// maxWait bounds the time for which a VM takes a pool as empty.
	maxWait = time.Second
)

// A borrowedShare is the share of one VM that the grantor holds until its lease ends.
type borrowedShare struct {
	number         LoanNumber
	rate           ident.Rate
	capacity, held ident.Tokens
	until          ident.Instant
}

// A pool holds the shares of one tenant's cap that a grantor borrowed.
type pool struct {
	shares map[ident.VMID]borrowedShare
	// tokens never exceeds the capacity of the shares less what their owners hold.
	tokens      ident.Tokens
	accruedAt   ident.Instant
	startedAt   ident.Instant
	hurriedAt   ident.Instant
	activeUntil ident.Instant
	// preferred is true if this VM was the first in the order when the pool began.
	preferred bool
	// due is when the next token is due to each VM that got too few.
	due map[ident.VMID]ident.Instant
}

func newPool(now ident.Instant) *pool {
	return &pool{shares: map[ident.VMID]borrowedShare{}, due: map[ident.VMID]ident.Instant{}, accruedAt: now, startedAt: now}
}

// accrue adds the tokens of the shares up to now and drops the shares whose lease ended.
func (p *pool) accrue(now ident.Instant) {
	for vm, s := range p.shares {
		if until := min(now, s.until); until > p.accruedAt {
			p.tokens += ident.Tokens(float64(s.rate) * until.Sub(p.accruedAt).Seconds())
		}
		if now >= s.until {
			delete(p.shares, vm)
		}
	}
	p.accruedAt = max(p.accruedAt, now)
	p.tokens = min(p.tokens, p.capacity())
}

// capacity returns the most tokens that the pool may hold.
func (p *pool) capacity() ident.Tokens {
	var sum ident.Tokens
	for _, s := range p.shares {
		sum += s.capacity - s.held
	}
	return max(sum, 0)
}

func (p *pool) rate() ident.Rate {
	var sum ident.Rate
	for _, s := range p.shares {
		sum += s.rate
	}
	return sum
}

// add adds a share that a VM lent on a question sent at sent.
func (p *pool) add(now, sent ident.Instant, from ident.VMID, loan Loan) {
	p.accrue(now)
	p.shares[from] = borrowedShare{loan.Number, loan.Rate, loan.Capacity, loan.Held, sent.Add(loan.Lease)}
	p.tokens = min(p.tokens+max(loan.Tokens, 0), p.capacity())
}

// drop removes the share of a VM.
func (p *pool) drop(now ident.Instant, vm ident.VMID) {
	p.accrue(now)
	delete(p.shares, vm)
	p.tokens = min(p.tokens, p.capacity())
}

// hold sets the tokens that a lender keeps.
func (p *pool) hold(now ident.Instant, vm ident.VMID, held ident.Tokens) {
	p.accrue(now)
	if s, ok := p.shares[vm]; ok {
		s.held = held
		p.shares[vm] = s
		p.tokens = min(p.tokens, p.capacity())
	}
}

// grant answers an ask. Spare tokens are granted only to a VM that lent its share, and only
// while the pool is more than half full.
func (p *pool) grant(now ident.Instant, from ident.VMID, ask Ask) Grant {
	p.accrue(now)
	s, lent := p.shares[from]
	if lent {
		s.held = ask.Held
		p.shares[from] = s
	}
	given := min(max(ask.Need, 0), int(p.tokens))
	p.tokens -= ident.Tokens(given)
	g := Grant{Tenant: ask.Tenant, Tokens: given}
	if given < ask.Need {
		g.Collecting = now.Sub(p.startedAt) < collectTime
		g.Wait = p.nextWait(now, from)
		return g
	}
	if lent {
		spare := min(max(ask.Spare, 0), int(p.tokens-p.capacity()/2))
		if spare > 0 {
			s.held += ident.Tokens(spare)
			p.shares[from] = s
			p.tokens -= ident.Tokens(spare)
			g.Tokens += spare
		}
	}
	return g
}

// nextWait returns the time until a token is due to a VM, after those for other VMs.
func (p *pool) nextWait(now ident.Instant, to ident.VMID) time.Duration {
	rate := float64(p.rate())
	if rate <= 0 {
		return maxWait / 2
	}
	ahead := 0
	for vm, at := range p.due {
		if at <= now {
			delete(p.due, vm)
		} else if vm != to {
			ahead++
		}
	}
	wait := min(ident.Span((max(1-float64(p.tokens), 0)+float64(ahead))/rate, time.Second), maxWait)
	p.due[to] = now.Add(wait)
	return wait
}

// dissolve removes all shares and returns the part of the tokens that each lender gets.
func (p *pool) dissolve(now ident.Instant, tenant ident.TenantID) map[ident.VMID]Return {
	p.accrue(now)
	parts := make(map[ident.VMID]Return, len(p.shares))
	capacity := p.capacity()
	for vm, s := range p.shares {
		r := Return{Tenant: tenant, Number: s.number}
		if capacity > 0 {
			r.Tokens = p.tokens * max(s.capacity-s.held, 0) / capacity
		}
		parts[vm] = r
	}
	clear(p.shares)
	p.tokens = 0
	return parts
}
