package soak

import (
	"context"
	"io"
	"net"
	"sync"
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
	modeCount
)

var modeNames = [modeCount]string{"pass", "delay", "refuse", "cut-answers", "cut-asks", "silent"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

const (
	// proxyDelay is the delay of each read in the mode Delay.
	proxyDelay  = 60 * time.Millisecond
	proxyBuffer = 32 << 10
)

// A Proxy forwards TCP connections on loopback to one target address.
type Proxy struct {
	target     string
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy starts a Proxy for a target address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.goroutines.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the proxy's own IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode for open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset closes every open connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Close sends a reset instead of a FIN.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// Close stops the proxy and waits for its goroutines.
func (p *Proxy) Close() error {
	p.cancel()
	err := p.listener.Close()
	p.Reset()
	p.goroutines.Wait()
	return err
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *Proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) accept() {
	defer p.goroutines.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.track(c)
		if p.currentMode() == Refuse {
			p.closeConn(c)
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			p.closeConn(c)
			continue
		}
		p.track(out)
		p.goroutines.Add(2)
		go p.copyBytes(c, out, CutAsks)
		go p.copyBytes(out, c, CutAnswers)
	}
}

// copyBytes forwards bytes in one direction. In the modes Silent and discardMode it
// discards them.
func (p *Proxy) copyBytes(from, to net.Conn, discardMode Mode) {
	defer p.goroutines.Done()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch m := p.currentMode(); m {
			case Silent, discardMode:
				n = 0
			case Delay:
				clock.Sleep(p.ctx, proxyDelay)
			case Pass, Refuse, CutAnswers, CutAsks, modeCount:
			}
			if n > 0 {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					err = werr
				}
			}
		}
		if err != nil {
			if err == io.EOF {
				closeWrite(to)
			} else {
				p.closeConn(to)
			}
			p.closeConn(from)
			return
		}
	}
}

// closeWrite forwards an end of file; the other direction stays open.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Errors are ignored: the peer may have closed the connection already.
		_ = tcp.CloseWrite()
	}
}
