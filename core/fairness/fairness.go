// Package fairness decides which tenants hold more than their max-min share of what all
// tenants of a VM use together: places for requests in flight and extra attempts. Nothing
// is held back while there is room, or while a single tenant is active.
package fairness

import (
	"math"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// Reserve is the part of a capacity that is left when it becomes scarce. Shares bind only
// then.
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
