package rollout

// usedShare is the part of the share that is used. The rest covers requests that are
// counted here but do not reach a replica.
const usedShare = 0.95

// maxDue bounds the requests that are due at once after a time without a replica of the
// target.
const maxDue = 2

// An Exposure bounds what one VM sends to the target of an order: at most its share of the
// requests that the VM itself sends to the service, plus its allowance. Since each VM keeps
// its own bound, the sum over all VMs is bounded without messages. The zero value has no
// credit.
type Exposure struct {
	// credit is what may still be sent to the target; it may be negative from Most on.
	credit float64
	// advance is what may be sent at Most beyond the credit, once advanced is true.
	advance  float64
	advanced bool
	// due is what should be sent to the target now, at most maxDue.
	due float64
	// first and sent count the requests of the service, and all attempts at the target.
	first, sent uint64
}

// NewExposure returns the exposure at the beginning of an order.
func NewExposure(p *Plan) Exposure { return Exposure{credit: p.Allowance} }

// CountFirst counts a request to the service: the first attempt, at any version.
func (e *Exposure) CountFirst(p *Plan) {
	e.first++
	e.credit += usedShare * float64(p.Share)
	e.due = min(e.due+p.Step.fraction(p.Share), maxDue)
}

// CountTarget counts an attempt at the target. Hedges and retries count too.
func (e *Exposure) CountTarget() {
	e.sent++
	e.credit--
	e.due = max(e.due-1, 0)
}

// Prefers reports whether the next attempt should go to the target.
func (e *Exposure) Prefers(p *Plan) bool {
	if p.Step == Takeover {
		return true
	}
	credit := e.credit
	if p.Step == Most {
		if !e.advanced {
			e.advanced, e.advance = true, p.Advance*float64(e.first)
		}
		credit += e.advance
	}
	// The request that is being sent is due itself, before CountFirst.
	return credit >= 1 && e.due+p.Step.fraction(p.Share) >= 1
}

// Sent returns how many requests of the service and how many attempts at the target were
// counted.
func (e *Exposure) Sent() (first, target uint64) { return e.first, e.sent }
