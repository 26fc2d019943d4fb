// Package fairness decides which tenants hold more than their max-min share of what all
// tenants of a VM use together: places for requests in flight and extra attempts. Nothing
// is held back while there is room, or while a single tenant is active.
package fairness

import (
	"math"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// Reserve is the part of a capacity that only tenants below their share may use, so that
// they find room when another tenant holds all the rest.
const Reserve ident.Share = 0.25

// Share returns the max-min fair share of a claimant that wants as much as it can get,
// beside others with the given demands. It sorts the demands.
func Share(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		if equal := capacity / float64(len(demands)-i+1); d >= equal {
			return max(equal, 0)
		}
		capacity -= d
	}
	return max(capacity, 0)
}

// lowestRankLeaves is the part of a capacity that the lowest rank leaves to those above.
const lowestRankLeaves ident.Share = 0.25

// OfRank returns the part of a capacity that a rank may use: all of it for rank 0, falling
// linearly to that of the lowest. What is spent cannot be taken back from a low rank, so it
// is left to the higher ones beforehand.
func OfRank(rank, ranks int) ident.Share {
	if ranks <= 1 {
		return 1
	}
	return 1 - lowestRankLeaves*ident.Share(rank)/ident.Share(ranks-1)
}

// activeFor is how long a tenant counts as active after its last request.
const activeFor = 10 * time.Second

type holder struct {
	held int
	seen ident.Instant
}

// Places records the places that each tenant holds. The zero value is empty and ready for
// use.
type Places[K comparable] struct {
	// holders has the tenants that hold a place, and others until they are swept.
	holders map[K]*holder
	swept   ident.Instant
	buf     []float64
}

// See records a request of a tenant, whether or not it gets a place.
func (p *Places[K]) See(now ident.Instant, k K) {
	if p.holders == nil {
		p.holders = map[K]*holder{}
	}
	if now.Sub(p.swept) > activeFor {
		p.swept = now
		for other, h := range p.holders {
			if !h.active(now) {
				delete(p.holders, other)
			}
		}
	}
	h := p.holders[k]
	if h == nil {
		h = &holder{}
		p.holders[k] = h
	}
	h.seen = now
}

func (h *holder) active(now ident.Instant) bool { return h.held > 0 || now.Sub(h.seen) <= activeFor }

// Take records that a tenant, which See recorded, takes a place.
func (p *Places[K]) Take(k K) {
	if h := p.holders[k]; h != nil {
		h.held++
	}
}

// Release records that a tenant gives a place back.
func (p *Places[K]) Release(k K) {
	if h := p.holders[k]; h != nil && h.held > 0 {
		h.held--
	}
}

// Held returns the number of places that a tenant holds.
func (p *Places[K]) Held(k K) int {
	if h := p.holders[k]; h != nil {
		return h.held
	}
	return 0
}

// Contended reports whether a tenant other than k is active.
func (p *Places[K]) Contended(now ident.Instant, k K) bool {
	for other, h := range p.holders {
		if other != k && h.active(now) {
			return true
		}
	}
	return false
}

// Over reports whether a tenant that asks for one more place holds its share of the
// capacity, while no more than the Reserve is free and other tenants are active. It also
// returns that share.
func (p *Places[K]) Over(now ident.Instant, k K, capacity int) (share float64, over bool) {
	usable := math.Floor(float64(capacity) * float64(1-Reserve))
	total := 0
	p.buf = p.buf[:0]
	for other, h := range p.holders {
		total += h.held
		if other != k && h.held > 0 {
			p.buf = append(p.buf, float64(h.held))
		}
	}
	if float64(total) < usable || !p.Contended(now, k) {
		return float64(capacity), false
	}
	share = Share(usable, p.buf)
	return share, float64(p.Held(k)+1) > share
}

// Extras counts the extra attempts of each tenant in a window. The zero value is empty and
// ready for use.
type Extras[K comparable] struct {
	// spent has an entry for each tenant with an extra attempt in the last Span, and others
	// until they are swept.
	spent map[K]*container.Window[int]
	swept ident.Instant
	buf   []float64
}

// Count counts n extra attempts of a tenant; n is negative for attempts that are refunded.
func (e *Extras[K]) Count(now ident.Instant, k K, span time.Duration, n int) {
	if e.spent == nil {
		e.spent = map[K]*container.Window[int]{}
	}
	if now.Sub(e.swept) > span {
		e.swept = now
		for other, w := range e.spent {
			if w.Sum(now) <= 0 {
				delete(e.spent, other)
			}
		}
	}
	w := e.spent[k]
	if w == nil || w.Span != span {
		w = &container.Window[int]{Span: span}
		e.spent[k] = w
	}
	if w.Sum(now)+n >= 0 {
		w.Add(now, n)
	}
}

// Over reports whether a tenant that wants one more extra attempt has spent its share of
// the allowed ones beside other active tenants. It is false while more than the Reserve
// remains.
func (e *Extras[K]) Over(now ident.Instant, k K, allowed float64) bool {
	own := 0
	e.buf = e.buf[:0]
	for other, w := range e.spent {
		n := w.Sum(now)
		switch {
		case other == k:
			own = n
		case n > 0:
			e.buf = append(e.buf, float64(n))
		}
	}
	return float64(own+1) > Share(allowed*float64(1-Reserve), e.buf)
}
