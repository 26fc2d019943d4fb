// Package poison recognises a request that crashes the upstreams that run it.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

// A Fingerprint identifies the content of a request, whatever its key.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request to a service.
func NewFingerprint(service ident.ServiceID, body []byte) Fingerprint {
	d := xxhash.New()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

const (
	// Threshold is the number of crashes after which a request is refused.
	Threshold = 2
	// RefusalPeriod is how long the request is refused after its last crash.
	RefusalPeriod = time.Minute
	maxSuspects   = 10_000
)

type suspect struct {
	crashes int
	until   ident.Instant
}

// A Tracker counts crashes by request. The zero value is empty and ready.
type Tracker struct {
	// Suspects has at most mostSuspect entries; expired ones go first.
	suspects map[Fingerprint]suspect
}

// RecordCrashes counts crashes at now and reports whether the request is refused from
// now on.
func (r *Tracker) RecordCrashes(now ident.Instant, f Fingerprint, crashes int) bool {
	if r.suspects == nil {
		r.suspects = map[Fingerprint]suspect{}
	}
	if len(r.suspects) >= maxSuspects {
		r.expire(now)
	}
	s := r.suspects[f]
	if s.until < now {
		s.crashes = 0
	}
	s.crashes += crashes
	s.until = now.Add(RefusalPeriod)
	r.suspects[f] = s
	return s.crashes >= Threshold
}

// Suspect reports whether the request may have crashed an upstream, though not
// often enough to be refused.
func (r *Tracker) Suspect(now ident.Instant, f Fingerprint) bool {
	s, ok := r.suspects[f]
	return ok && s.until > now
}

// Clear forgets a suspicion: the request ran everywhere without a crash.
func (r *Tracker) Clear(f Fingerprint) { delete(r.suspects, f) }

func (r *Tracker) expire(now ident.Instant) {
	for f, s := range r.suspects {
		if s.until < now {
			delete(r.suspects, f)
		}
	}
}

// RefusedFor returns how long the request is still refused; 0 when it is not.
func (r *Tracker) RefusedFor(now ident.Instant, f Fingerprint) time.Duration {
	s, ok := r.suspects[f]
	if !ok || s.crashes < Threshold || s.until <= now {
		return 0
	}
	return s.until.Sub(now)
}
