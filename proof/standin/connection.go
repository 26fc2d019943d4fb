package standin

import (
	"net"
	"sync"
	"time"
)

// A costlyListener bounds the open connections and delays each new one.
type costlyListener struct {
	net.Listener
	upstream *Upstream
}

func (l *costlyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.upstream.opened() {
			return &costlyConn{Conn: conn, upstream: l.upstream}, nil
		}
		l.upstream.closed()
		_ = conn.Close()
	}
}

func (u *Upstream) opened() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open++
	u.totals.MostOpen = max(u.totals.MostOpen, u.open)
	return u.config.Connections == 0 || u.open <= u.config.Connections
}

func (u *Upstream) closed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
}

type costlyConn struct {
	net.Conn
	upstream *Upstream
	paid     bool
	once     sync.Once
}

// Read pays the connection's cost before the first byte.
func (c *costlyConn) Read(b []byte) (int, error) {
	if !c.paid {
		c.paid = true
		time.Sleep(c.upstream.config.ConnectionCost)
	}
	return c.Conn.Read(b)
}

// Close closes the connection and counts it once.
func (c *costlyConn) Close() error {
	c.once.Do(c.upstream.closed)
	return c.Conn.Close()
}
