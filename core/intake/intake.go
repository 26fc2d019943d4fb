// Package intake decides which callers are turned away when their connections, or the
// memory of the requests that they are sending, run short.
package intake

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Phase is what a connection is doing.
type Phase uint8

const (
	// Waiting means that no byte of a first request has arrived.
	Waiting Phase = iota
	// Idle means that all requests have been answered.
	Idle
	// Head means that a part of a request's head has arrived.
	Head
	// Body means that the head has arrived and a part of the body is missing.
	Body
	// Running means that a whole request has arrived and is not answered.
	Running
	// Discarding means that a request was answered before its body has arrived.
	Discarding
	// Refused means that the caller was turned away and the connection is about to close.
	Refused
	// Closed means that the connection was closed for another one. It is not counted, but
	// its memory is until Close.
	Closed
)

const (
	// slowAfter is the time after which a request that is still arriving may be slow.
	slowAfter = time.Second
	// slowRate is the rate, in bytes per second, below which a body is slow.
	slowRate ident.Rate = 32 << 10
	// One in idleShare connections may stay idle while others are wanted.
	idleShare = 4
)

// Limits bound what all connections of a Ledger take together.
type Limits struct {
	// Connections is the number of open connections; 0 for no limit.
	Connections int
	// Memory bounds the bytes of requests; 0 for no limit.
	Memory ident.Bytes
}

// A connection is the state of one connection.
type connection struct {
	// serial is the place in the order in which the connections were opened.
	serial uint64
	phase  Phase
	// began is when the request began to arrive, or when the connection was opened or
	// became idle.
	began ident.Instant
	// moved is when bytes last arrived, or when the caller last took a part of an answer.
	moved ident.Instant
	// writing is true while a part of an answer waits for the caller to take it.
	writing bool
	// received counts the bytes of the body that have arrived.
	received ident.Bytes
	// held is the memory of the request. It is 0 in the phases Waiting and Idle.
	held ident.Bytes
	// ending is true once the caller must release its memory at once.
	ending bool
}

// stalled reports whether the caller has taken nothing of its answer for a while.
func (c *connection) stalled(now ident.Instant) bool {
	return c.writing && now.Sub(c.moved) >= slowAfter
}

// slow reports whether a caller takes longer than ordinary ones: to send a head, to go on
// with a body, or to take an answer.
func (c *connection) slow(now ident.Instant) bool {
	age, still := now.Sub(c.began), now.Sub(c.moved)
	switch {
	case c.writing:
		return c.stalled(now)
	case c.phase == Waiting, c.phase == Head:
		return age >= slowAfter
	case c.phase == Discarding:
		return still >= slowAfter
	case c.phase == Body:
		return still >= slowAfter || (age >= slowAfter && float64(c.received) < float64(slowRate)*age.Seconds())
	}
	return false
}

// cost is the memory of a request that is arriving, times the time for which it has
// been.
func (c *connection) cost(now ident.Instant) float64 {
	return float64(c.held) * float64(max(now.Sub(c.began), 1))
}

// A Ledger records the connections of one listener and the memory of their requests. K
// identifies a connection. Use New to create one. A Ledger must not be used from several
// goroutines at the same time.
type Ledger[K comparable] struct {
	limits      Limits
	connections map[K]*connection
	// open is the number of connections that are not Closed.
	open   int
	opened uint64
	// used is the memory of all requests: the sum of held, and what was detached.
	used ident.Bytes
	// ending is the part of used that is about to be released.
	ending ident.Bytes
}

// New returns a Ledger without connections.
func New[K comparable](limits Limits) *Ledger[K] {
	return &Ledger[K]{limits: limits, connections: map[K]*connection{}}
}

// SetLimits replaces the limits. Nobody is turned away before the next need.
func (l *Ledger[K]) SetLimits(limits Limits) { l.limits = limits }

// Limits returns the limits in force.
func (l *Ledger[K]) Limits() Limits { return l.limits }

// Len returns the number of open connections.
func (l *Ledger[K]) Len() int { return l.open }

// Used returns the memory of all requests.
func (l *Ledger[K]) Used() ident.Bytes { return l.used }

// Open records a new connection. If that exceeds the limit, victim is the connection of
// another caller that must be closed. If nobody can be turned away, k is not recorded and
// ok is false.
func (l *Ledger[K]) Open(now ident.Instant, k K) (victim K, turnedAway, ok bool) {
	if l.limits.Connections > 0 && l.open >= l.limits.Connections {
		if victim, turnedAway = l.leastMissed(now); !turnedAway {
			return victim, false, false
		}
		l.end(l.connections[victim], Closed)
		l.open--
	}
	l.open++
	l.opened++
	l.connections[k] = &connection{serial: l.opened, began: now, moved: now}
	return victim, turnedAway, true
}

// before orders connections by when their requests began to arrive.
func (c *connection) before(other *connection) bool {
	return c.began < other.began || (c.began == other.began && c.serial < other.serial)
}

// The classes of connections, in the order in which they are closed for others.
const (
	closing uint8 = iota
	slowCallers
	newCallers
	idleCallers
	sendingCallers
	neverClosed
)

func (c *connection) class(now ident.Instant) uint8 {
	switch {
	case c.phase == Closed:
		return neverClosed
	case c.phase == Refused:
		return closing
	case c.slow(now):
		return slowCallers
	case c.writing, c.phase == Running:
		return neverClosed
	case c.phase == Waiting, c.phase == Head:
		return newCallers
	case c.phase == Idle:
		return idleCallers
	}
	return sendingCallers
}

// closedBefore reports whether a connection is closed for a new one before another of the
// same class: the oldest of the unfinished requests, but the newest of the idle
// connections, so that callers who were there before a crowd keep theirs.
func (c *connection) closedBefore(other *connection, class uint8) bool {
	if class == idleCallers {
		return c.serial > other.serial
	}
	return c.before(other)
}

// leastMissed returns the connection to close for a new one, from the first class that has
// any. A part of the connections may stay idle: beyond it, a new caller is turned away
// rather than one that may come back.
func (l *Ledger[K]) leastMissed(now ident.Instant) (victim K, found bool) {
	var first *connection
	var class uint8
	idle := 0
	for k, c := range l.connections {
		other := c.class(now)
		if other == idleCallers {
			idle++
		}
		if other != neverClosed && (first == nil || other < class || (other == class && c.closedBefore(first, class))) {
			victim, first, class = k, c, other
		}
	}
	if first == nil || (class == idleCallers && idle <= l.open/idleShare) {
		return victim, false
	}
	return victim, true
}

// Close removes a connection and releases the memory that it holds.
func (l *Ledger[K]) Close(k K) {
	c := l.connections[k]
	if c == nil {
		return
	}
	if c.phase != Closed {
		l.open--
	}
	l.release(c, c.held)
	delete(l.connections, k)
}

// Enter records that a connection enters a phase. It returns false if the caller was
// turned away.
func (l *Ledger[K]) Enter(now ident.Instant, k K, phase Phase) bool {
	c := l.connections[k]
	if c == nil || c.phase >= Refused {
		return false
	}
	if phase == Head || phase == Idle || phase == Discarding || (phase == Body && c.phase != Head) {
		c.began = now
	}
	c.phase, c.moved = phase, now
	if phase != Running {
		c.received = 0
	}
	return true
}

// Receive records that n bytes of a request have arrived.
func (l *Ledger[K]) Receive(now ident.Instant, k K, n ident.Bytes) {
	if c := l.connections[k]; c != nil {
		c.moved = now
		c.received += n
	}
}

// Write records that the caller is being sent a part of an answer, or has taken it.
func (l *Ledger[K]) Write(now ident.Instant, k K, writing bool) {
	if c := l.connections[k]; c != nil {
		c.writing, c.moved = writing, now
	}
}

// Stalled reports whether the caller has taken nothing of its answer for a while.
func (l *Ledger[K]) Stalled(now ident.Instant, k K) bool {
	c := l.connections[k]
	return c != nil && c.stalled(now)
}

// GiveUp returns the connections whose callers have taken nothing of their answers for a
// while, which must be closed to release the memory of the answers.
func (l *Ledger[K]) GiveUp(now ident.Instant) (stalled []K) {
	for k, c := range l.connections {
		if c.phase != Closed && c.stalled(now) {
			l.end(c, Refused)
			stalled = append(stalled, k)
		}
	}
	return stalled
}

// A Verdict is the result of Hold.
type Verdict uint8

const (
	// Held means that the bytes are reserved.
	Held Verdict = iota
	// Wait means that they will fit after a Release, Return or Close, and Hold must then be
	// called again.
	Wait
	// Denied means that the connection's own request is the one to refuse.
	Denied
)

// Hold reserves n bytes for the request of a connection. Where they do not fit, it
// refuses requests that are still arriving, and gives up answers that are not read. It
// returns their connections, which must release their memory at once.
func (l *Ledger[K]) Hold(now ident.Instant, k K, n ident.Bytes) (refused []K, verdict Verdict) {
	c := l.connections[k]
	if c == nil || c.phase >= Refused {
		return nil, Denied
	}
	for l.limits.Memory > 0 && l.used-l.ending+n > l.limits.Memory {
		victim, found := l.costliest(now, c, n)
		if !found || victim == k {
			l.end(c, Refused)
			return refused, Denied
		}
		l.end(l.connections[victim], Refused)
		refused = append(refused, victim)
	}
	if l.limits.Memory > 0 && l.used+n > l.limits.Memory {
		return refused, Wait
	}
	c.held += n
	l.used += n
	return refused, Held
}

// end marks the memory of a connection as about to be released.
func (l *Ledger[K]) end(c *connection, phase Phase) {
	c.phase = phase
	if !c.ending {
		c.ending = true
		l.ending += c.held
	}
}

// release takes n bytes from what a connection holds.
func (l *Ledger[K]) release(c *connection, n ident.Bytes) {
	c.held -= n
	l.used -= n
	if c.ending {
		l.ending -= n
	}
}

// done reports whether the request is not served any more: it was answered or refused
// before it arrived.
func (c *connection) done() bool { return c.phase == Discarding || c.phase == Refused }

// costliest returns the connection whose request is refused first: one that is done
// already, then a slow one, also one whose answer is not read, then the one with the largest memory times age. The request of
// asking is one of them, with the n bytes that it asks for.
func (l *Ledger[K]) costliest(now ident.Instant, asking *connection, n ident.Bytes) (victim K, found bool) {
	asking.held += n
	defer func() { asking.held -= n }()
	var worst *connection
	for k, c := range l.connections {
		if c.held == 0 || c.ending || (c.phase != Head && c.phase != Body && !c.done() && !c.stalled(now)) {
			continue
		}
		if worst == nil || costlier(now, c, worst) {
			victim, worst = k, c
		}
	}
	return victim, worst != nil
}

func costlier(now ident.Instant, a, b *connection) bool {
	if done := a.done(); done != b.done() {
		return done
	}
	if slow := a.slow(now); slow != b.slow(now) {
		return slow
	}
	if x, y := a.cost(now), b.cost(now); x != y {
		return x > y
	}
	return a.before(b)
}

// Refuse records that a caller was turned away for another reason than memory. Its memory
// stays in use until it is released.
func (l *Ledger[K]) Refuse(k K) {
	if c := l.connections[k]; c != nil && c.phase != Closed {
		c.phase = Refused
	}
}

// Detach returns the memory of the request of a connection. It stays in use until it is
// passed to Return, also when the connection is closed before.
func (l *Ledger[K]) Detach(k K) ident.Bytes {
	c := l.connections[k]
	if c == nil {
		return 0
	}
	n := c.held
	c.held = 0
	if c.ending {
		l.ending -= n
	}
	return n
}

// Return releases memory that was detached.
func (l *Ledger[K]) Return(n ident.Bytes) { l.used -= n }

// Release returns n bytes that the request of a connection holds.
func (l *Ledger[K]) Release(k K, n ident.Bytes) {
	if c := l.connections[k]; c != nil {
		l.release(c, min(n, c.held))
	}
}
