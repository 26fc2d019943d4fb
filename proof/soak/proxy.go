package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"carawaycross.example/carawaycross/serve/clock"
)

// A Mode is what a Proxy does to the bytes that pass it.
type Mode uint8

// The modes of a Proxy.
const (
	// Pass hands everything on.
	Pass Mode = iota
	// Delay holds every piece for a while.
	Delay
	// Refuse resets new connections; open ones go on.
	Refuse
	// CutAnswers swallows what comes back, CutAsks what goes there.
	CutAnswers
	CutAsks
	// Silent swallows both.
	Silent
	modes
)

var modeNames = [modes]string{"pass", "delay", "refuse", "cut-answers", "cut-asks", "silent"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

const (
	// proxyDelay is the time for which Delay holds a piece.
	proxyDelay  = 60 * time.Millisecond
	proxyBuffer = 32 << 10
)

// A Proxy stands on loopback in front of one address.
type Proxy struct {
	target   string
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	ends     sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy starts a Proxy in front of an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.ends.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the proxy's own IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode for open and new connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset closes every open connection.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A reset instead of an orderly end.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// Close ends the proxy and waits for its goroutines.
func (p *Proxy) Close() error {
	p.cancel()
	err := p.listener.Close()
	p.Reset()
	p.ends.Wait()
	return err
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) accept() {
	defer p.ends.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.keep(c)
		if p.current() == Refuse {
			p.drop(c)
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			p.drop(c)
			continue
		}
		p.keep(out)
		p.ends.Add(2)
		go p.pump(c, out, CutAsks)
		go p.pump(out, c, CutAnswers)
	}
}

// pump hands bytes on in one direction; cut names the mode that swallows them.
func (p *Proxy) pump(from, to net.Conn, cut Mode) {
	defer p.ends.Done()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch m := p.current(); m {
			case Silent, cut:
				n = 0
			case Delay:
				clock.Sleep(p.ctx, proxyDelay)
			case Pass, Refuse, CutAnswers, CutAsks, modes:
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
				p.drop(to)
			}
			p.drop(from)
			return
		}
	}
}

// closeWrite passes an orderly end on; answers may still come back.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The other side may be gone already.
		_ = tcp.CloseWrite()
	}
}
