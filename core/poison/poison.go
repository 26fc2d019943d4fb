// Package poison detects requests that crash the upstreams that run them.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/passage"
)

// A Fingerprint identifies the service and the body of a request. It does not
// depend on the request key.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request to a service.
func NewFingerprint(service ident.ServiceID, body []byte) Fingerprint {
	d := xxhash.New()
	// Writes to a digest never fail.
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// NewRoutedFingerprint returns the fingerprint of a routed request. It depends on all that
// comes again when the caller sends the request again, and not on its ID. For a request to
// many shards, shard is the service of one of them; otherwise it is empty.
func NewRoutedFingerprint(shard ident.ServiceID, r *passage.Request) Fingerprint {
	d := xxhash.New()
	// Writes to a digest never fail.
	for _, field := range []string{string(shard), r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

const (
	// Threshold is the number of crashes after which a request is refused.
	Threshold = 2
	// RefusalPeriod is how long the request is refused after its last crash.
	RefusalPeriod = time.Minute
	// maxSuspects is the number of suspects from which RecordCrashes removes expired
	// ones.
	maxSuspects = 10_000
)

// A suspect is a request that may have crashed upstreams.
type suspect struct {
	crashes int
	// until is when the suspect expires, RefusalPeriod after its last crash.
	until ident.Instant
}

// A Tracker counts crashes by request. The zero value is empty and ready to use.
type Tracker struct {
	// suspects may exceed maxSuspects while none of them has expired.
	suspects map[Fingerprint]suspect
}

// RecordCrashes adds crashes at now and reports whether the request is refused from
// now on.
func (t *Tracker) RecordCrashes(now ident.Instant, f Fingerprint, crashes int) bool {
	if t.suspects == nil {
		t.suspects = map[Fingerprint]suspect{}
	}
	if len(t.suspects) >= maxSuspects {
		t.expire(now)
	}
	s := t.suspects[f]
	if s.until < now {
		s.crashes = 0
	}
	s.crashes += crashes
	s.until = now.Add(RefusalPeriod)
	t.suspects[f] = s
	return s.crashes >= Threshold
}

// Suspect reports whether the request may have crashed an upstream within
// RefusalPeriod.
func (t *Tracker) Suspect(now ident.Instant, f Fingerprint) bool {
	s, ok := t.suspects[f]
	return ok && s.until > now
}

// Len returns the number of requests that are suspected.
func (t *Tracker) Len() int { return len(t.suspects) }

// Clear removes the crashes of a request that has since run without a crash.
func (t *Tracker) Clear(f Fingerprint) { delete(t.suspects, f) }

// expire removes the suspects that expired before now.
func (t *Tracker) expire(now ident.Instant) {
	for f, s := range t.suspects {
		if s.until < now {
			delete(t.suspects, f)
		}
	}
}

// RefusedFor returns how long the request is still refused; 0 if it is not.
func (t *Tracker) RefusedFor(now ident.Instant, f Fingerprint) time.Duration {
	s, ok := t.suspects[f]
	if !ok || s.crashes < Threshold || s.until <= now {
		return 0
	}
	return s.until.Sub(now)
}
