package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/serve/clock"
)

// A Mode determines how a Proxy treats connections and the bytes on them.
type Mode uint8

// The modes of a Proxy.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Delay forwards each read after proxyDelay.
	Delay
	// Refuse closes new connections immediately; open ones continue.
	Refuse
	// CutAnswers discards the bytes that the target sends, CutAsks those sent to it.
	CutAnswers
	CutAsks
	// Silent discards the bytes of both directions.
	Silent
	// HoldNew accepts new connections and never responds on them; open ones continue.
	HoldNew
	// ResetAll resets open and new connections.
	ResetAll
	// Closed resets open connections and closes the listener, so that the system refuses
	// new ones.
	Closed
	// Unavailable and Limited reset open connections and respond to each HTTP request on a
	// new one with 503 and 429.
	Unavailable
	Limited
	modeCount
)

var modeNames = [modeCount]string{
	"pass", "delay", "refuse", "cut-answers", "cut-asks", "silent", "hold-new", "reset-all", "closed", "unavailable", "limited",
}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// resetsOpen reports whether open connections are reset when the mode is set.
func (m Mode) resetsOpen() bool {
	return m == ResetAll || m == Closed || m == Unavailable || m == Limited
}

// refuses reports whether the target appears to refuse or not to answer calls.
func (m Mode) refuses() bool {
	return m == Refuse || m == Silent || m == HoldNew || m.resetsOpen()
}

// status returns the HTTP status with which the proxy itself responds in the mode, or 0.
func (m Mode) status() int {
	switch m {
	case Unavailable:
		return http.StatusServiceUnavailable
	case Limited:
		return http.StatusTooManyRequests
	default:
		return 0
	}
}

const (
	// proxyDelay is the delay of each read in the mode Delay.
	proxyDelay  = 60 * time.Millisecond
	proxyBuffer = 32 << 10
	// proxyLoopback is the address of proxies. Outgoing connections have the address
	// 127.0.0.1, so none can take the port of a proxy in the mode Closed.
	proxyLoopback = "127.0.0.3:0"
)

// A Proxy forwards TCP connections on loopback to one target address.
type Proxy struct {
	target, address string
	ctx             context.Context
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup

	mu sync.Mutex
	// listener is nil in the mode Closed and after Close.
	listener net.Listener
	mode     Mode
	// conns holds the open connections. Both ends of a forwarded connection have the same
	// link.
	conns map[net.Conn]*link
	// links counts the connections that were accepted.
	links int
}

// A link is a connection of a client and the one to the target for it.
type link struct {
	// number counts the links of a proxy.
	number int
	// stalled is true once the link is silent for good.
	stalled atomic.Bool
	// waiting is true while the client waits for the target: the last bytes were the client's.
	waiting atomic.Bool
}

// NewProxy starts a Proxy for a target address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", proxyLoopback)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, address: l.Addr().String(), conns: map[net.Conn]*link{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.listen(l)
	return p, nil
}

// Address returns the proxy's own IP:port.
func (p *Proxy) Address() string { return p.address }

// listen accepts connections of a listener. The lock must be held, except in NewProxy.
func (p *Proxy) listen(l net.Listener) {
	p.listener = l
	p.goroutines.Add(1)
	go p.accept(l)
}

// SetMode sets the mode for open and new connections. The error is of opening the
// listener again after the mode Closed.
func (p *Proxy) SetMode(m Mode) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m.resetsOpen() {
		p.reset()
	}
	switch {
	case m == Closed && p.listener != nil:
		err := p.listener.Close()
		p.listener = nil
		return err
	case m != Closed && p.listener == nil && p.ctx.Err() == nil:
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return err
		}
		p.listen(l)
	}
	return nil
}

// Reset closes every open connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

// reset is Reset. The lock must be held.
func (p *Proxy) reset() {
	for c := range p.conns {
		abort(c)
	}
	clear(p.conns)
}

// Stall makes open connections silent for good, without a reset: those for which chosen
// returns true, which is called with whether the client waits for a response on it. New
// connections work. It returns the number of connections that it stalled.
func (p *Proxy) Stall(chosen func(waiting bool) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var links []*link
	for _, k := range p.conns {
		if !k.stalled.Load() && !slices.Contains(links, k) {
			links = append(links, k)
		}
	}
	// The order of a map would make a seed choose other connections in each run.
	slices.SortFunc(links, func(a, b *link) int { return cmp.Compare(a.number, b.number) })
	stalled := 0
	for _, k := range links {
		if chosen(k.waiting.Load()) {
			k.stalled.Store(true)
			stalled++
		}
	}
	return stalled
}

// Close stops the proxy and waits for its goroutines.
func (p *Proxy) Close() error {
	p.cancel()
	p.mu.Lock()
	var err error
	if p.listener != nil {
		err = p.listener.Close()
		p.listener = nil
	}
	p.reset()
	p.mu.Unlock()
	p.goroutines.Wait()
	return err
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// newLink returns a link for a connection that was accepted.
func (p *Proxy) newLink() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links++
	return &link{number: p.links}
}

// track adds an open connection. It closes one that the proxy accepted or opened while it
// was being closed, and reports whether the connection is open.
func (p *Proxy) track(c net.Conn, k *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	p.conns[c] = k
	return true
}

func (p *Proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) accept(l net.Listener) {
	defer p.goroutines.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		k := p.newLink()
		if !p.track(c, k) {
			continue
		}
		switch mode := p.currentMode(); mode {
		case Refuse:
			p.closeConn(c)
			continue
		case ResetAll, Closed:
			abort(c)
			p.closeConn(c)
			continue
		case Unavailable, Limited:
			p.goroutines.Add(1)
			go p.respond(c, mode.status())
			continue
		case HoldNew:
			k.stalled.Store(true)
		default:
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil || !p.track(out, k) {
			p.closeConn(c)
			continue
		}
		p.goroutines.Add(2)
		go p.copyBytes(k, c, out, CutAsks)
		go p.copyBytes(k, out, c, CutAnswers)
	}
}

// respond responds to one HTTP request itself and closes the connection.
func (p *Proxy) respond(c net.Conn, status int) {
	defer p.goroutines.Done()
	defer p.closeConn(c)
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	// The client notices a failed write as a lost response.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// copyBytes forwards bytes in one direction. In the modes Silent and discardMode it
// discards them, and all that follow: a stream with a gap is of no use.
func (p *Proxy) copyBytes(k *link, from, to net.Conn, discardMode Mode) {
	defer p.goroutines.Done()
	buffer := make([]byte, proxyBuffer)
	discards := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			k.waiting.Store(discardMode == CutAsks)
			switch p.currentMode() {
			case Silent, discardMode:
				discards = true
			case Delay:
				clock.Sleep(p.ctx, proxyDelay)
			default:
			}
			if !discards && !k.stalled.Load() {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					err = werr
				}
			}
		}
		if err != nil {
			switch {
			case k.stalled.Load() && discardMode == CutAnswers:
				// The client doesn't learn that the target closed the connection.
			case err == io.EOF:
				closeWrite(to)
			default:
				p.closeConn(to)
			}
			p.closeConn(from)
			return
		}
	}
}

// abort closes a connection with a reset instead of a FIN.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// closeWrite forwards an end of file; the other direction stays open.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Errors are ignored: the peer may have closed the connection already.
		_ = tcp.CloseWrite()
	}
}
