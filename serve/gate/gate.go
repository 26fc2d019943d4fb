// Package gate bounds what callers take before and while their requests are served: the
// connections of a listener, the memory of requests that arrive, and the times for which
// callers may send or read nothing. Package intake decides who is turned away.
package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/intake"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/task"
)

// A Reason says why a caller was turned away.
type Reason string

// The reasons for turning a caller away.
const (
	// Connections means that the connection was closed for one of another caller.
	Connections Reason = "connections"
	// Memory means that the requests that are arriving would take too much memory.
	Memory Reason = "memory"
	// LongHead means that a head exceeds its limit.
	LongHead Reason = "head-too-long"
	// SlowHead and SlowBody mean that a request did not arrive in time.
	SlowHead Reason = "head-too-slow"
	SlowBody Reason = "body-too-slow"
	// UnreadAnswer means that the caller did not read its answer.
	UnreadAnswer Reason = "answer-not-read"
)

// RetryAfter is the time after which a caller that was turned away may return.
const RetryAfter = time.Second

const (
	// serverHeadBytes is the limit of net/http, above all limits that a Gate applies.
	serverHeadBytes = 1 << 30
	// defaultHeadBytes applies while the configuration has no limit.
	defaultHeadBytes = 64 << 10
	// A head may take headFactor times the configuration's limit and headMargin, since
	// that does not count the request line and white space. The exact limit is checked on
	// the whole head.
	headFactor = 2
	headMargin = 8 << 10
	// minHeadTime is the least time for a head or for the rest of a body that is not wanted.
	minHeadTime = 5 * time.Second
	// timeFactor is applied to the configuration's time-outs, so that a stall of this
	// process is not taken for one of its callers.
	timeFactor = 2
	// maxBodyTime bounds the time for a body.
	maxBodyTime = time.Minute
	// answerTime is how long a caller may read nothing of its answer.
	answerTime = 30 * time.Second
	// maxHoldWait bounds the wait for memory that refused requests release. It takes at
	// most one part in holdShare of the time that is left, so that the request can be
	// served after it.
	maxHoldWait = 5 * time.Second
	holdShare   = 2
	// giveUpInterval is the least time between two looks at all connections for answers that
	// are not read.
	giveUpInterval = 100 * time.Millisecond
	// logInterval is the least time between two log lines about callers turned away.
	logInterval = 10 * time.Second
)

// Times are the configuration's limits for callers; zero values mean none.
type Times struct {
	HeadBytes      ident.Bytes
	HeadTime, Idle time.Duration
}

// A Config holds the settings and dependencies of a Gate.
type Config struct {
	// Name is the listener's name in logs.
	Name   string
	Limits intake.Limits
	Clock  clock.Clock
	Log    zerolog.Logger
	// Times returns the limits of the configuration in force; nil for none.
	Times func() Times
}

// Stats are the state of a Gate and its totals since the start.
type Stats struct {
	Connections int               `json:"connections"`
	HeldBytes   ident.Bytes       `json:"held-bytes"`
	TurnedAway  map[Reason]uint64 `json:"turned-away"`
}

// A Gate wraps one listener and its handler. Its methods may be called from several
// goroutines.
type Gate struct {
	config Config

	mu     sync.Mutex
	ledger *intake.Ledger[*conn]
	// released is signalled when memory was released or a caller was refused.
	released task.Signal
	// turnedAway counts callers since the start, logged those up to the latest log line.
	turnedAway, logged map[Reason]uint64
	loggedAt           ident.Instant
	// gaveUpAt is when GiveUpAnswers last looked at the connections.
	gaveUpAt ident.Instant
	// reportedBody is the limit for bodies that was last reported to exceed the memory.
	reportedBody ident.Bytes
}

// New returns a Gate.
func New(config Config) *Gate {
	return &Gate{
		config: config, ledger: intake.New[*conn](config.Limits),
		turnedAway: map[Reason]uint64{}, logged: map[Reason]uint64{},
	}
}

// SetLimits replaces the limits.
func (g *Gate) SetLimits(limits intake.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetLimits(limits)
}

// Stats returns the state and the totals, for metrics.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Stats{Connections: g.ledger.Len(), HeldBytes: g.ledger.Used(), TurnedAway: map[Reason]uint64{}}
	for r, n := range g.turnedAway {
		s.TurnedAway[r] = n
	}
	return s
}

// Server returns a server for the connections that Listener accepts.
func (g *Gate) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        g.handler(h),
		MaxHeaderBytes: serverHeadBytes,
		// The handler answers OPTIONS * too.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok && state == http.StateIdle {
				c.becomeIdle()
			}
		},
	}
}

type connKey struct{}

// handler lets a handler find its Request, and follows the request's body.
func (g *Gate) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		request, ok := c.begin(ident.Bytes(r.ContentLength))
		defer request.end()
		if !ok {
			w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
			w.Header().Set("Connection", "close")
			http.Error(w, string(Memory), http.StatusServiceUnavailable)
			return
		}
		// net/http looks at the body of r after the answer.
		r = r.WithContext(context.WithValue(r.Context(), requestKey{}, request))
		if r.ContentLength != 0 {
			r.Body = &requestBody{r.Body, request}
		}
		h.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections the Gate bounds.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept closes the connection of another caller if there are too many, or the new one if
// all others are in use.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.gate, inner)
		if l.gate.open(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// open records a connection. It returns false if there is no room for it.
func (g *Gate) open(c *conn) bool {
	g.mu.Lock()
	victim, turnedAway, ok := g.ledger.Open(g.config.Clock.Now(), c)
	switch {
	case turnedAway:
		g.countLocked(victim, Connections)
		g.released.Broadcast()
	case !ok:
		g.countLocked(c, Connections)
	}
	g.mu.Unlock()
	if turnedAway {
		_ = victim.Conn.Close()
	}
	return ok
}

// hold reserves memory for the request of a connection. It waits until the requests that
// are refused for it have released theirs.
func (g *Gate) hold(c *conn, n ident.Bytes) bool {
	var timeout <-chan time.Time
	for {
		verdict, released := g.tryHold(c, n)
		if verdict != intake.Wait {
			return verdict == intake.Held
		}
		if timeout == nil {
			timer := time.NewTimer(c.holdWait())
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			g.turnAway(c, Memory)
			return false
		}
	}
}

// tryHold reserves memory if there is room now. Otherwise it returns a channel that is
// closed after a change.
func (g *Gate) tryHold(c *conn, n ident.Bytes) (intake.Verdict, <-chan struct{}) {
	g.mu.Lock()
	now := g.config.Clock.Now()
	refused, verdict := g.ledger.Hold(now, c, n)
	var stalled []*conn
	for _, victim := range refused {
		if g.ledger.Stalled(now, victim) {
			stalled = append(stalled, victim)
			g.countLocked(victim, UnreadAnswer)
			continue
		}
		g.countLocked(victim, Memory)
	}
	if len(refused) > 0 {
		// One of them may be waiting for memory.
		g.released.Broadcast()
	}
	var released <-chan struct{}
	switch verdict {
	case intake.Held:
	case intake.Wait:
		released = g.released.Next()
	case intake.Denied:
		g.countLocked(c, Memory)
	}
	g.mu.Unlock()
	for _, victim := range refused {
		victim.refuse()
	}
	for _, victim := range stalled {
		// The goroutine that writes the answer releases its memory.
		_ = victim.Conn.Close()
	}
	return verdict, released
}

// GiveUpAnswers closes the connections of callers who have taken nothing of their answers
// for a while. It is called while the memory for replies is short.
func (g *Gate) GiveUpAnswers() {
	g.mu.Lock()
	now := g.config.Clock.Now()
	if g.gaveUpAt != 0 && now.Sub(g.gaveUpAt) < giveUpInterval {
		g.mu.Unlock()
		return
	}
	g.gaveUpAt = now
	stalled := g.ledger.GiveUp(now)
	for _, c := range stalled {
		g.countLocked(c, UnreadAnswer)
	}
	g.mu.Unlock()
	for _, c := range stalled {
		_ = c.Conn.Close()
	}
}

// reportBody logs a limit for bodies that exceeds the memory for requests, once.
func (g *Gate) reportBody(limit, memory ident.Bytes) {
	g.mu.Lock()
	reported := g.reportedBody == limit
	g.reportedBody = limit
	g.mu.Unlock()
	if !reported {
		g.config.Log.Warn().Str("listener", g.config.Name).Int64("limit-bytes", int64(limit)).
			Int64("memory-bytes", int64(memory)).Msg("body-limit-exceeds-memory")
	}
}

// update changes the ledger.
func (g *Gate) update(f func(now ident.Instant, l *intake.Ledger[*conn])) {
	g.mu.Lock()
	defer g.mu.Unlock()
	used := g.ledger.Used()
	f(g.config.Clock.Now(), g.ledger)
	if g.ledger.Used() < used {
		g.released.Broadcast()
	}
}

// turnAway records that a caller is turned away.
func (g *Gate) turnAway(c *conn, reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Refuse(c)
	g.countLocked(c, reason)
}

// countLocked counts a caller that is turned away, once for each connection, and logs the
// counts since the latest line from time to time.
func (g *Gate) countLocked(c *conn, reason Reason) {
	if c.counted {
		return
	}
	c.counted = true
	g.turnedAway[reason]++
	now := g.config.Clock.Now()
	if g.loggedAt != 0 && now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.loggedAt = now
	line := g.config.Log.Warn().Str("listener", g.config.Name).Int("open", g.ledger.Len()).Int64("held-bytes", int64(g.ledger.Used()))
	for r, n := range g.turnedAway {
		line = line.Uint64(string(r), n-g.logged[r])
		g.logged[r] = n
	}
	line.Msg("callers-turned-away")
}

func (g *Gate) times() Times {
	var t Times
	if g.config.Times != nil {
		t = g.config.Times()
	}
	t.HeadTime = max(timeFactor*t.HeadTime, minHeadTime)
	t.Idle *= timeFactor
	if t.HeadBytes > 0 {
		t.HeadBytes = headFactor*t.HeadBytes + headMargin
	} else {
		t.HeadBytes = defaultHeadBytes
	}
	t.HeadBytes = min(t.HeadBytes, g.memory())
	return t
}

// memory returns the bound of the memory for requests.
func (g *Gate) memory() ident.Bytes {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.ledger.Limits().Memory; m > 0 {
		return m
	}
	return serverHeadBytes
}
