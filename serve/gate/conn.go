package gate

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/intake"
)

const (
	// A head of freeHeadBytes and freeHeadLines needs no reservation.
	freeHeadBytes = 4 << 10
	freeHeadLines = 32
	// fieldCost is the memory that a field takes beside its bytes.
	fieldCost = 512
	// holdStep is the least number of bytes that are reserved at once.
	holdStep = 4 << 10
	// writePiece is the part of an answer that a caller has to read within answerTime.
	writePiece = 64 << 10
	// After a refusal of a long head, at most lingerBytes that the caller still sends are read,
	// for at most lingerTime: closing a connection with unread bytes may discard the
	// refusal.
	lingerBytes = 64 << 10
	lingerTime  = 500 * time.Millisecond
)

// The refusals of a head that was not read to its end. The request has not run.
const (
	refusalEnd  = "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	longHead    = "HTTP/1.1 431 Request Header Fields Too Large" + refusalEnd
	slowHead    = "HTTP/1.1 408 Request Timeout" + refusalEnd
	noMemory    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1" + refusalEnd
	refusedTime = -time.Second
)

// A conn is a caller's connection. net/http reads it in one goroutine at a time.
type conn struct {
	net.Conn
	gate *Gate
	// The fields from here to bodyLeft are only accessed by the goroutine that reads
	// requests. head counts the head that is arriving, headHeld was reserved for it, and
	// headRead is true after a part of it was read for it.
	head     head
	headHeld ident.Bytes
	headRead bool
	// behind counts what was read behind the latest request. rest is what was read behind
	// its head; it is kept only if it has more lines than a head may have for nothing.
	behind head
	rest   []byte
	// restBytes is the length of what was read behind the head, bodyLeft the part of the
	// body that was not read; negative if the next head was, or if it is not known.
	restBytes, bodyLeft ident.Bytes
	// counted is true after the caller was counted as turned away. The mutex of the Gate
	// guards it.
	counted bool
	// request is the latest request; nil after its answer was written. It is written by the
	// goroutine that reads requests, and the mutex of the Gate guards it.
	request *Request

	mu sync.Mutex
	// phase is the one that was last entered.
	phase intake.Phase
	// deadline is the end of the time for what the caller has to send next; zero for none.
	deadline time.Time
	// aborted is true while net/http wants reads to fail.
	aborted bool
	// isRefused is true after the request was refused for memory.
	isRefused bool
	// isWriting is true while an answer is written.
	isWriting bool
	// writeEnd is the end of the time for the answer to a request that was refused; zero
	// for none.
	writeEnd time.Time
}

func newConn(g *Gate, inner net.Conn) *conn {
	c := &conn{Conn: inner, gate: g}
	c.setDeadline(time.Now().Add(g.times().HeadTime))
	return c
}

// CloseWrite ends the sending side, for net/http.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.gate.update(func(_ ident.Instant, l *intake.Ledger[*conn]) {
		c.endRequest(l)
		l.Close(c)
	})
	return c.Conn.Close()
}

// endRequest ends the connection's use of its request. Attempts may still refer to it.
func (c *conn) endRequest(l *intake.Ledger[*conn]) {
	r := c.request
	if r == nil {
		return
	}
	c.request = nil
	r.detached = l.Detach(c)
	if r.users.Add(-1) == 0 {
		r.giveUp(l)
	}
}

// SetReadDeadline is called by net/http to make reads fail, and with the zero time to let
// them succeed again. The caller's own deadline applies besides.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = !t.IsZero()
	if c.aborted && !c.isRefused {
		return c.Conn.SetReadDeadline(t)
	}
	return c.armLocked()
}

// armLocked puts the deadline in force.
func (c *conn) armLocked() error {
	switch {
	case c.isRefused:
		return c.Conn.SetReadDeadline(time.Now().Add(refusedTime))
	case c.aborted:
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

func (c *conn) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	// It fails only on a closed connection, which reads report.
	_ = c.armLocked()
}

// enter changes the phase and the deadline. It returns false if the caller was turned
// away.
func (c *conn) enter(phase intake.Phase, deadline time.Time) (ok bool) {
	c.gate.update(func(now ident.Instant, l *intake.Ledger[*conn]) { ok = l.Enter(now, c, phase) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.deadline = phase, deadline
	_ = c.armLocked()
	return ok
}

// refuse makes reads of the request fail, and ends an answer that is not read soon.
func (c *conn) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRefused = true
	_ = c.armLocked()
	if c.isWriting {
		_ = c.armWriteLocked()
	}
}

// armWriteLocked puts a deadline for the next part of an answer in force. The whole
// answer to a refused request has one.
func (c *conn) armWriteLocked() error {
	if !c.isRefused {
		return c.SetWriteDeadline(time.Now().Add(answerTime))
	}
	if c.writeEnd.IsZero() {
		c.writeEnd = time.Now().Add(lingerTime)
	}
	return c.SetWriteDeadline(c.writeEnd)
}

// writePart records that a part of an answer is about to be written, and sets its deadline.
func (c *conn) writePart() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = true
	return c.armWriteLocked()
}

func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = false
}

// holdWait returns how long the request may wait for memory.
func (c *conn) holdWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return maxHoldWait
	}
	return min(maxHoldWait, max(time.Until(c.deadline), 0)/holdShare)
}

func (c *conn) refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRefused
}

func (c *conn) currentPhase() intake.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// becomeIdle is called after an answer was written.
func (c *conn) becomeIdle() {
	var deadline time.Time
	if idle := c.gate.times().Idle; idle > 0 {
		deadline = time.Now().Add(idle)
	}
	c.gate.update(func(_ ident.Instant, l *intake.Ledger[*conn]) { c.endRequest(l) })
	c.enter(intake.Idle, deadline)
}

// begin is called when the head of a request was read. Length is that of the body, -1 if
// it is not known. It returns false if the caller was turned away before.
func (c *conn) begin(length ident.Bytes) (r *Request, ok bool) {
	r = &Request{conn: c, arrived: length == 0}
	r.users.Store(1)
	c.gate.update(func(ident.Instant, *intake.Ledger[*conn]) { c.request = r })
	phase, deadline := intake.Running, time.Time{}
	if length != 0 {
		phase, deadline = intake.Body, time.Now().Add(maxBodyTime)
	}
	// A head that was read behind another request has no reservation so far.
	if cost := c.behind.cost(); !c.headRead && cost > 0 {
		c.enter(intake.Head, time.Now().Add(c.gate.times().HeadTime))
		if !c.gate.hold(c, cost) {
			return r, false
		}
	}
	if c.headRead {
		c.behind = head{}
		if rest := c.rest; length >= 0 {
			c.behind = next(rest[min(len(rest), int(length)):])
		}
		c.bodyLeft, c.rest = length-c.restBytes, nil
	}
	c.headRead = false
	return r, c.enter(phase, deadline)
}

// receiveBody counts bytes that arrive after a head.
func (c *conn) receiveBody(p []byte) {
	if n := ident.Bytes(len(p)); c.bodyLeft > 0 {
		if c.bodyLeft -= n; c.bodyLeft < 0 {
			c.behind = next(p[n+c.bodyLeft:])
		}
	}
	c.gate.update(func(now ident.Instant, l *intake.Ledger[*conn]) { l.Receive(now, c, ident.Bytes(len(p))) })
}

// Read returns what the caller sends. It ends a head that exceeds a limit with a refusal
// and io.EOF, which net/http does not answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	phase := c.currentPhase()
	if n == 0 {
		if phase == intake.Head && errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, c.endHead()
		}
		return n, err
	}
	switch phase {
	case intake.Waiting, intake.Idle:
		c.head, c.headHeld = c.behind, 0
		c.enter(intake.Head, time.Now().Add(c.gate.times().HeadTime))
		return c.receiveHead(p[:n])
	case intake.Head:
		return c.receiveHead(p[:n])
	case intake.Body, intake.Discarding:
		c.receiveBody(p[:n])
	case intake.Running, intake.Refused, intake.Closed:
	}
	return n, err
}

// receiveHead counts bytes of a head, which may be followed by some of the body. It
// returns their number, or 0 and io.EOF after a refusal.
func (c *conn) receiveHead(p []byte) (int, error) {
	c.headRead = true
	rest := c.head.add(p)
	c.rest, c.restBytes = nil, ident.Bytes(len(rest))
	if bytes.Count(rest, []byte("\n")) > freeHeadLines {
		c.rest = bytes.Clone(rest)
	}
	if c.head.bytes > c.gate.times().HeadBytes {
		c.gate.turnAway(c, LongHead)
		err := c.answer(longHead)
		c.linger()
		return 0, err
	}
	cost := c.head.cost()
	if cost <= c.headHeld {
		return len(p), nil
	}
	n := max(cost-c.headHeld, holdStep)
	c.headHeld += n
	if c.gate.hold(c, n) {
		return len(p), nil
	}
	return 0, c.answer(noMemory)
}

// endHead ends a head that did not arrive in time or was refused.
func (c *conn) endHead() error {
	if c.refused() {
		return c.answer(noMemory)
	}
	c.gate.turnAway(c, SlowHead)
	return c.answer(slowHead)
}

// answer writes a refusal of a head. It returns io.EOF.
func (c *conn) answer(refusal string) error {
	// A caller that is gone needs no answer.
	if c.SetWriteDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.WriteString(c.Conn, refusal)
	}
	return io.EOF
}

// linger reads some of what the caller still sends after a refusal. A refusal for memory
// ends it.
func (c *conn) linger() {
	if c.CloseWrite() == nil {
		c.setDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
}

// Write sends a part of an answer. A caller that reads nothing for too long is cut off.
func (c *conn) Write(p []byte) (int, error) {
	c.writing(true)
	defer c.writing(false)
	defer c.endWrite()
	written := 0
	for {
		if err := c.writePart(); err != nil {
			return written, err
		}
		piece := p[written:min(len(p), written+writePiece)]
		n, err := c.Conn.Write(piece)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.gate.turnAway(c, UnreadAnswer)
		}
		if err != nil || written == len(p) {
			return written, err
		}
		c.writing(true)
	}
}

func (c *conn) writing(writing bool) {
	c.gate.update(func(now ident.Instant, l *intake.Ledger[*conn]) { l.Write(now, c, writing) })
}
