package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/intake"
)

// An Error reports that a request was not read to its end. The request has not run.
type Error struct {
	Op   string
	Kind Reason
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("gate: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNoMemory is the cause of an Error of kind Memory.
var errNoMemory = errors.New("the memory for requests is in use")

// A Request is the memory and the time of one request. Its methods may be called on nil,
// which has no bounds.
type Request struct {
	conn *conn
	// users counts the connection and the attempts that refer to the request. It is atomic,
	// so that attempts begin without waiting for the Gate.
	users atomic.Int64
	// detached is the memory that the last user returns, 0 while the connection is a user
	// and after that. The mutex of the Gate guards it.
	detached ident.Bytes
	// arrived is true after the end of the body. Only the handler's goroutine accesses it.
	arrived bool
}

type requestKey struct{}

// RequestOf returns the Request of a handler's context, or nil if its server has no Gate.
func RequestOf(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}

// Reserve holds n bytes for the request, until its end.
func (r *Request) Reserve(n, _ ident.Bytes) error {
	if r == nil || r.conn.gate.hold(r.conn, n) {
		return nil
	}
	return &Error{"reserve", Memory, errNoMemory}
}

// BodyLimit returns a limit for the body, or what the memory for requests can hold of one
// if that is less: a longer body would never be served.
func (r *Request) BodyLimit(limit ident.Bytes) ident.Bytes {
	if r == nil {
		return limit
	}
	g := r.conn.gate
	memory := g.memory()
	if limit >= memory {
		g.reportBody(limit, memory)
	}
	// A reader reserves one byte above the limit.
	return min(limit, max(memory-r.conn.headHeld-1, 0))
}

// Release returns n reserved bytes.
func (r *Request) Release(n ident.Bytes) {
	if r != nil && n > 0 {
		r.conn.gate.update(func(_ ident.Instant, l *intake.Ledger[*conn]) { l.Release(r.conn, n) })
	}
}

// ArriveWithin bounds the time in which the body must arrive.
func (r *Request) ArriveWithin(d time.Duration) {
	if r != nil && !r.arrived && d > 0 && d < maxBodyTime {
		r.conn.setDeadline(time.Now().Add(d))
	}
}

// Retain keeps the memory of the request reserved until a matching Done.
func (r *Request) Retain() {
	if r != nil {
		r.users.Add(1)
	}
}

// Done ends a use of the request. The last one returns its memory.
func (r *Request) Done() {
	if r != nil && r.users.Add(-1) == 0 {
		r.conn.gate.update(func(_ ident.Instant, l *intake.Ledger[*conn]) { r.giveUp(l) })
	}
}

// giveUp returns the memory after the last use.
func (r *Request) giveUp(l *intake.Ledger[*conn]) {
	l.Return(r.detached)
	r.detached = 0
}

// end is called when the handler has ended. What is left of the body must arrive soon, or
// the connection is closed.
func (r *Request) end() {
	if !r.arrived {
		r.conn.enter(intake.Discarding, time.Now().Add(minHeadTime))
	}
}

// arrive records that the whole request has arrived. It returns false if the caller was
// turned away before.
func (r *Request) arrive() bool {
	if r.arrived {
		return true
	}
	r.arrived = true
	return r.conn.enter(intake.Running, time.Time{})
}

// A requestBody is the body of a request.
type requestBody struct {
	io.ReadCloser
	request *Request
}

// Read returns an Error if the caller was turned away.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if !b.request.arrive() {
			return n, &Error{"read", Memory, errNoMemory}
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c := b.request.conn
		if c.refused() {
			return n, &Error{"read", Memory, errNoMemory}
		}
		c.gate.turnAway(c, SlowBody)
		return n, &Error{"read", SlowBody, err}
	}
	return n, err
}
