package standin

import (
	"net"
	"sync"
	"time"
)

// A limitedListener limits the number of open connections and delays each new
// one. It closes connections above the limit.
type limitedListener struct {
	net.Listener
	upstream *Upstream
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.upstream.connectionOpened() {
			return &limitedConn{Conn: conn, upstream: l.upstream}, nil
		}
		l.upstream.connectionClosed()
		_ = conn.Close()
	}
}

// connectionOpened counts an open connection and reports whether it is within
// the limit.
func (u *Upstream) connectionOpened() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.openConnections++
	u.totals.MaxOpen = max(u.totals.MaxOpen, u.openConnections)
	return u.config.Connections == 0 || u.openConnections <= u.config.Connections
}

func (u *Upstream) connectionClosed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.openConnections--
}

// A limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	upstream *Upstream
	delayed  bool
	once     sync.Once
}

// Read waits for the ConnectionCost before the first read.
func (c *limitedConn) Read(b []byte) (int, error) {
	if !c.delayed {
		c.delayed = true
		time.Sleep(c.upstream.config.ConnectionCost)
	}
	return c.Conn.Read(b)
}

// Close closes the connection and subtracts it once from the open ones.
func (c *limitedConn) Close() error {
	c.once.Do(c.upstream.connectionClosed)
	return c.Conn.Close()
}
