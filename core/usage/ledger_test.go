package usage

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/tenant"
)

// A tenant floods all VMs while VMs are cut off, frozen and restarted and messages are lost.
func TestNoWindowExceedsTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "vms")
		limit := tenant.Tenant{
			ID: "courts", Rate: ident.Rate(rapid.IntRange(2, 60).Draw(t, "rate")),
			Burst: ident.Tokens(rapid.IntRange(0, 120).Draw(t, "burst")),
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, limit)
		w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		w.slowest = rapid.SampledFrom([]time.Duration{3, 20, 120}).Draw(t, "slowest ms") * time.Millisecond
		w.refunds = rapid.SampledFrom([]float64{0, 0, 0.3, 0.95}).Draw(t, "refunds")
		w.cancels = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "cancels")
		for range rapid.IntRange(3, 14).Draw(t, "phases") {
			for range rapid.IntRange(0, 3).Draw(t, "faults") {
				vm := rapid.IntRange(0, n-1).Draw(t, "vm")
				switch rapid.SampledFrom([]string{"cut", "heal", "restart", "freeze", "herd", "leave"}).Draw(t, "fault") {
				case "cut":
					w.vms[vm].side = rapid.IntRange(0, 2).Draw(t, "side")
				case "heal":
					for _, other := range w.vms {
						other.side = 0
					}
				case "restart":
					w.start(vm, false)
				case "leave":
					w.vms[vm].ledger.Leave(w.now)
				case "freeze":
					w.vms[vm].thawsAt = w.now.Add(time.Duration(rapid.IntRange(10, 6000).Draw(t, "ms")) * time.Millisecond)
				case "herd":
					for i := range n / 2 {
						w.start(i, false)
					}
				}
			}
			flood := rapid.SampledFrom([]float64{0, 0, 1, 3, 200}).Draw(t, "requests a second")
			senders := rapid.IntRange(1, n).Draw(t, "senders")
			w.advance(time.Duration(rapid.IntRange(20, 4000).Draw(t, "ms"))*time.Millisecond, senders, flood)
		}
		if rate, _ := w.bounds.enforced(&limit); w.mostRate > rate*(1+1e-9) {
			t.Fatalf("the shares and pools accrue %v/s, allowed are %v/s", w.mostRate, rate)
		}
		if got, allowed := w.mostInWindow(), w.allowed(); got > allowed {
			t.Fatalf("%d requests in one window, allowed are %d", got, allowed)
		}
	})
}

// A tenant floods 8 VMs with requests that wait for 3 s and then do not run; the replicas
// recover before the VMs give the tokens back.
func TestLateRefundsDoNotExceedTheCap(t *testing.T) {
	w := newWorld(1, 8, tenant.Tenant{ID: "courts", Rate: 20, Burst: 20})
	w.advance(20*time.Second, 8, 0)
	w.refunds = 1
	w.advance(3*time.Second, 8, 25)
	w.refunds = 0
	w.advance(w.bounds.Window, 8, 25)
	if got, allowed := w.mostInWindow(), w.allowed(); got > allowed {
		t.Errorf("%d requests ran in one window, allowed are %d", got, allowed)
	}
}

// A grantor stops and starts again while its message about the end of a loan is late.
func TestLateReturnDoesNotEndALaterLoan(t *testing.T) {
	owner, _ := pair(tenant.Tenant{ID: "courts", Rate: 10, Burst: 40}, start)
	now := start.Add(time.Minute)
	a := owner.accounts["courts"]
	earlier, _ := owner.lend(now, a, "vm-1")
	later, _ := owner.lend(now.Add(leaseTime/2), a, "vm-1")
	owner.Receive(now.Add(leaseTime/2), "vm-1", Message{Incarnation: ident.Incarnation(start), Returns: []Return{{Tenant: "courts", Number: earlier.Number, Tokens: 3}}})
	if a.lentUntil != now.Add(leaseTime/2+leaseTime) || a.tokens != 0 {
		t.Errorf("the later loan ends at %v and the VM has %v tokens", a.lentUntil, a.tokens)
	}
	owner.Receive(now.Add(leaseTime/2), "vm-1", Message{Incarnation: ident.Incarnation(start), Returns: []Return{{Tenant: "courts", Number: later.Number, Tokens: 3}}})
	if a.tokens != 3 {
		t.Errorf("the VM has %v tokens after the end of the later loan, expected 3", a.tokens)
	}
}

// A VM restarts while the loan of its earlier process is on its way to the grantor.
func TestMessagesOfAnEarlierProcessAreIgnored(t *testing.T) {
	_, grantor := pair(tenant.Tenant{ID: "courts", Rate: 10, Burst: 40}, start)
	a := grantor.accounts["courts"]
	a.pool = newPool(start)
	grantor.Receive(start, "vm-0", Message{Incarnation: ident.Incarnation(start) + 2, Restarted: true})
	grantor.Complete(start, Exchange{To: "vm-0", Sent: start}, Message{Incarnation: ident.Incarnation(start) + 1, Loans: []Loan{{Tenant: "courts", Rate: 5, Capacity: 20, Lease: time.Second}}}, true)
	if len(a.pool.shares) != 0 {
		t.Error("the grantor took a loan of the earlier process")
	}
	answer := grantor.Receive(start, "vm-0", Message{Incarnation: ident.Incarnation(start) + 1, Collects: []ident.TenantID{"courts"}})
	if len(answer.Loans) != 0 || a.lentUntil > start {
		t.Error("the share was lent to the earlier process")
	}
}

// The demand of a tenant lies on k of 32 VMs.
func TestTenantGetsItsCapOnAnyNumberOfVMs(t *testing.T) {
	for _, rate := range []ident.Rate{4, 40, 200} {
		for k := 1; k <= 32; k++ {
			w := newWorld(uint64(k), 32, tenant.Tenant{ID: "courts", Rate: rate, Burst: 10})
			demand := 1.2 * float64(rate) / float64(k)
			w.advance(w.bounds.Window, k, demand)
			w.times, w.offered = nil, 0
			w.advance(20*time.Second, k, demand)
			owed := min(20*float64(rate), float64(w.offered))
			if share := float64(len(w.times)) / owed; share < 0.95 {
				t.Errorf("rate %v on %d VMs: %.3f of the cap was served", rate, k, share)
			}
		}
	}
}

// A tenant within its cap is not refused, however few VMs its connections end on.
func TestNothingBelowTheCapIsRefusedInCalm(t *testing.T) {
	for _, rate := range []ident.Rate{0.25, 4, 40} {
		for _, k := range []int{1, 3, 10, 32} {
			w := newWorld(uint64(k), 32, tenant.Tenant{ID: "courts", Rate: rate, Burst: max(2, ident.Tokens(rate))})
			w.advance(40*time.Second, k, float64(rate)/1.6/float64(k))
			refused := 0
			for _, vm := range w.vms {
				refused += vm.refused
			}
			if refused > 0 {
				t.Errorf("rate %v on %d VMs: %d of %d requests were refused", rate, k, refused, refused+len(w.times))
			}
		}
	}
}

func TestEnforcedCapStaysBelowTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Window:    time.Duration(rapid.IntRange(1, 60).Draw(t, "window s")) * time.Second,
			Overshoot: rapid.Float64Range(0, 0.5).Draw(t, "overshoot"), Allowance: ident.Tokens(rapid.IntRange(0, 50).Draw(t, "allowance")),
		}
		limit := tenant.Tenant{
			Rate: ident.Rate(rapid.Float64Range(0.1, 500).Draw(t, "rate")), Burst: ident.Tokens(rapid.IntRange(1, 500).Draw(t, "burst")),
		}
		rate, burst := b.enforced(&limit)
		window := b.Window.Seconds()
		got := float64(rate)*window + float64(burst)
		allowed := (float64(limit.Rate)*window+float64(limit.Burst))*(1+b.Overshoot) + float64(b.Allowance)
		if got > allowed+1e-6 || rate < limit.Rate || burst < limit.Burst {
			t.Fatalf("enforced are %v/s and a burst of %v: %v in a window, allowed are %v", rate, burst, got, allowed)
		}
	})
}

// The tenant's grantor is lost for good while its demand lies on 5 of 32 VMs.
func TestCapIsServedAgainAfterTheGrantorIsLost(t *testing.T) {
	w := newWorld(3, 32, tenant.Tenant{ID: "courts", Rate: 40, Burst: 40})
	w.advance(w.bounds.Window, 5, 8)
	ledger := w.vms[0].ledger
	lost := w.index(ledger.grantor(w.now, ledger.accounts["courts"]))
	if lost < 5 {
		t.Fatalf("the grantor is VM %d, expected one without demand", lost)
	}
	w.vms[lost].side = 1
	w.advance(ledger.lease+holdTime, 5, 8)
	w.times, w.offered = nil, 0
	w.advance(w.bounds.Window, 5, 8)
	if share := float64(len(w.times)) / float64(w.offered); share < 0.95 {
		t.Errorf("%.3f of the requests were served one lease after the grantor was lost", share)
	}
}

// VMs restart one after the other, one each 1.5 s, while others read the list of VMs each
// 10 s.
func TestCapIsServedWhileVMsAreReplaced(t *testing.T) {
	for seed := range uint64(6) {
		for _, rate := range []float64{4, 40, 200} {
			limit := tenant.Tenant{ID: ident.TenantID(rune('a' + seed)), Rate: ident.Rate(rate), Burst: ident.Tokens(rate)}
			w := newWorld(seed, 32, limit)
			w.advance(20*time.Second, 3, 0.62*rate/3)
			w.times, w.offered = nil, 0
			for i := range 24 {
				w.vms[31-i].ledger.Leave(w.now)
				w.advance(300*time.Millisecond, 3, 0.62*rate/3)
				w.start(31-i, false)
				w.advance(1200*time.Millisecond, 3, 0.62*rate/3)
			}
			if share := float64(len(w.times)) / float64(w.offered); share < 0.95 {
				t.Errorf("seed %d, rate %v: %.3f of the requests were served", seed, rate, share)
			}
		}
	}
}

const start = ident.Instant(time.Hour)

func pair(limit tenant.Tenant, started ident.Instant) (owner, grantor *Ledger) {
	peers := []Peer{{VM: "vm-0"}, {VM: "vm-1"}}
	incarnation := ident.Incarnation(started)
	owner = New(Config{VM: "vm-0", Incarnation: incarnation, Started: started})
	grantor = New(Config{VM: "vm-1", Incarnation: incarnation, Started: started})
	owner.Install(start, []tenant.Tenant{limit}, peers[1:], 2, Bounds{})
	grantor.Install(start, []tenant.Tenant{limit}, peers[:1], 2, Bounds{})
	return owner, grantor
}

func TestRestartedVMHasNoBurstAndLendsNothingUntilItsEarlierLoansEnd(t *testing.T) {
	owner, _ := pair(tenant.Tenant{ID: "courts", Rate: 10, Burst: 40}, start)
	a := owner.accounts["courts"]
	for after, expected := range map[time.Duration]ident.Tokens{0: 0, leaseTime: 0, leaseTime + time.Second: 5} {
		a.tokens, a.accruedAt = 0, start
		if owner.accrue(start.Add(after), a); a.tokens != expected {
			t.Errorf("%v after the start the VM has %v tokens, expected %v", after, a.tokens, expected)
		}
	}
	if loan, ok := owner.lend(start.Add(leaseTime/2), a, "vm-1"); ok {
		t.Errorf("lent %+v, expected no loan", loan)
	}
}

func TestRestartedVMUsesItsShareOnceAllVMsDroppedItsLoans(t *testing.T) {
	limit := tenant.Tenant{ID: "courts", Rate: 10, Burst: 40}
	_, grantor := pair(limit, start.Add(-time.Hour))
	p := newPool(start)
	grantor.accounts["courts"].pool = p
	p.add(start, start, "vm-0", Loan{Tenant: "courts", Rate: 5, Capacity: 20, Lease: time.Second})
	owner, _ := pair(limit, start)
	questions := owner.Exchanges(start, nil)
	if len(questions) != 1 || !questions[0].Message.Restarted {
		t.Fatalf("the questions are %+v, expected one", questions)
	}
	if owner.Complete(start, questions[0], Message{}, false); len(owner.Exchanges(start.Add(step), nil)) != 0 {
		t.Error("the VM asked again at once")
	}
	answer := grantor.Receive(start, "vm-0", questions[0].Message)
	if len(p.shares) != 0 {
		t.Error("the grantor kept the share")
	}
	now := start.Add(100 * time.Millisecond)
	owner.Complete(now, questions[0], answer, true)
	a := owner.accounts["courts"]
	if owner.accrue(now.Add(time.Second), a); a.tokens != 5 {
		t.Errorf("the VM has %v tokens, expected 5", a.tokens)
	}
}

func TestLoanMovesTokens(t *testing.T) {
	owner, grantor := pair(tenant.Tenant{ID: "courts", Rate: 10, Burst: 40}, start)
	now := start.Add(time.Minute)
	a, p := owner.accounts["courts"], newPool(now)
	grantor.accounts["courts"].pool = p
	loan, ok := owner.lend(now, a, "vm-1")
	if !ok || loan.Tokens != 20 || a.tokens != 0 {
		t.Fatalf("lent %+v and kept %v, expected a loan of 20 tokens", loan, a.tokens)
	}
	if p.add(now, now, "vm-0", loan); p.tokens != 20 {
		t.Fatalf("the pool has %v tokens, expected 20", p.tokens)
	}
	if p.accrue(now.Add(time.Second)); p.tokens != 20 {
		t.Errorf("the pool has %v tokens, expected its capacity of 20", p.tokens)
	}
	p.tokens = 8
	returned := p.dissolve(now.Add(time.Second), "courts")["vm-0"]
	if p.tokens != 0 || returned.Tokens != 8 {
		t.Errorf("the pool kept %v tokens and returned %v, expected 0 and 8", p.tokens, returned.Tokens)
	}
	owner.endLoan(now.Add(time.Second), a, "vm-2", returned)
	if a.tokens != 0 {
		t.Errorf("a VM without the loan returned %v tokens", a.tokens)
	}
	if owner.endLoan(now.Add(time.Second), a, "vm-1", returned); a.tokens != 8 {
		t.Errorf("the owner has %v tokens, expected 8", a.tokens)
	}
}

func TestTokensOfALoanThatEndedAreLimitedToTheShare(t *testing.T) {
	owner, _ := pair(tenant.Tenant{ID: "courts", Rate: 10, Burst: 40}, start)
	now := start.Add(time.Minute)
	a := owner.accounts["courts"]
	owner.lend(now, a, "vm-1")
	a.tokens = 35
	if owner.accrue(now.Add(owner.lease), a); a.tokens != 20 {
		t.Errorf("the VM has %v tokens, expected its share of 20", a.tokens)
	}
}

func TestDiscardedTokensAndAnswersAreNotUsed(t *testing.T) {
	owner, _ := pair(tenant.Tenant{ID: "courts", Rate: 10, Burst: 40}, start)
	now := start.Add(time.Minute)
	owner.accrue(now, owner.accounts["courts"])
	owner.Discard(now.Add(time.Second))
	owner.Complete(now.Add(time.Second), Exchange{To: "vm-1", Sent: now}, Message{Incarnation: ident.Incarnation(start), Grants: []Grant{{Tenant: "courts", Tokens: 9}}}, true)
	if got := owner.accounts["courts"].tokens; got != 0 {
		t.Errorf("the VM has %v tokens, expected none", got)
	}
}

func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	owner, _ := pair(tenant.Tenant{ID: "courts", Rate: 10, Burst: 1}, start)
	a := owner.accounts["courts"]
	a.dryUntil = start.Add(200 * time.Millisecond)
	var last time.Duration
	for i := range 5 {
		verdict, r := owner.Admit(start, "courts", ident.QueryID(i))
		if verdict != Refused || r.RetryAfter < 200*time.Millisecond || r.RetryAfter < last+100*time.Millisecond {
			t.Errorf("request %d: verdict %v, Retry-After %v after %v", i, verdict, r.RetryAfter, last)
		}
		last = r.RetryAfter
	}
}

func TestCapThatIsRemovedAndSetAgainHasNoNewBurst(t *testing.T) {
	limits := []tenant.Tenant{{ID: "courts", Rate: 1, Burst: 10}}
	l := New(Config{VM: "vm-0", Started: start, FirstStart: true})
	l.Install(start, limits, nil, 1, Bounds{})
	for i := range 10 {
		l.Admit(start, "courts", ident.QueryID(i))
	}
	l.Install(start, nil, nil, 1, Bounds{})
	if verdict, _ := l.Admit(start, "courts", 11); verdict != Admitted {
		t.Error("a request of a tenant without a cap was not admitted")
	}
	l.Install(start, limits, nil, 1, Bounds{})
	if l.Admit(start, "courts", 12); len(l.Decisions(nil)) != 1 {
		t.Error("the cap that was set again has a new burst")
	}
	l.Install(start, nil, nil, 1, Bounds{})
	if l.Install(start.Add(countTime), nil, nil, 1, Bounds{}); !l.Idle() {
		t.Error("the account of the removed cap was kept")
	}
}

func TestPoolLeavesRoomForTheTokensThatLendersKeep(t *testing.T) {
	p := newPool(start)
	p.add(start, start, "vm-0", Loan{Tenant: "courts", Rate: 10, Capacity: 20, Held: 5, Tokens: 20, Lease: time.Minute})
	if p.tokens != 15 {
		t.Errorf("the pool has %v tokens, expected 15", p.tokens)
	}
	if g := p.grant(start, "vm-0", Ask{Tenant: "courts", Spare: 4, Held: 5}); g.Tokens != 4 {
		t.Errorf("granted %d tokens, expected 4", g.Tokens)
	}
	if p.accrue(start.Add(10 * time.Second)); p.tokens != 11 {
		t.Errorf("the pool has %v tokens, expected 11 beside the 9 that the lender has", p.tokens)
	}
}
