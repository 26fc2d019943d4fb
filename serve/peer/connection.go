package peer

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// maxSilence is how long a connection may receive nothing while a call on it gets no
// response. The VM may have been killed and be back at the same address: its new process
// ignores the packets of the connection.
const maxSilence = 500 * time.Millisecond

// A connection is an outbound connection that notices when its peer is silent, so that the
// next call makes a new one.
type connection struct {
	*quic.Conn

	mu sync.Mutex
	// silentSince is when the first call began since which nothing was received; zero if no
	// call is in progress or has failed since.
	silentSince time.Time
	// received is the number of packets received at silentSince.
	received uint64
}

// begin records that a call begins.
func (c *connection) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if received := c.ConnectionStats().PacketsReceived; c.silentSince.IsZero() || received != c.received {
		c.silentSince, c.received = now, received
	}
}

// end records the end of a call.
func (c *connection) end(responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if responded || c.ConnectionStats().PacketsReceived != c.received {
		c.silentSince = time.Time{}
	}
}

// usable reports whether to send more on the connection. It closes the connection if
// nothing was received for maxSilence although a call waits or has failed.
func (c *connection) usable(now time.Time) bool {
	if c.Context().Err() != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentSince.IsZero() || now.Sub(c.silentSince) < maxSilence || c.ConnectionStats().PacketsReceived != c.received {
		return true
	}
	// If the close is lost, the peer's idle timeout ends the connection.
	_ = c.CloseWithError(closeCode, "silent")
	return false
}
