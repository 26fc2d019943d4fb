// Package peer exchanges messages and calls between VMs over QUIC with mutual
// TLS. A message is sent on a unidirectional stream and has no response; a call
// is a request and a response on a bidirectional stream. A connection without a
// certificate that the Identity accepts is rejected, and the sender of a message
// or call is the VM that the certificate names.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"carawaycross.example/carawaycross/core/ident"
	bodies "carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/serve/task"
)

const (
	// protocol is the ALPN protocol name.
	protocol = "carawaycross/1"
	// maxMessageSize is in bytes; it bounds messages, requests and responses.
	maxMessageSize = 2 << 20
	// queueLength is the number of messages and calls that wait for one VM.
	queueLength = 64
	dialTimeout = 2 * time.Second
	sendTimeout = 2 * time.Second
	idleTimeout = time.Minute
	// maxPeers is the number of VMs with a link at the same time. A new link replaces the
	// one that was not used for the longest time.
	maxPeers = 64
	// maxWorkers is the number of goroutines of one Transport.
	maxWorkers = 1024
	closeCode  = 0
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// BadKeys is a certificate or key that cannot be loaded or created.
	BadKeys Kind = "bad-keys"
	// Unreachable is an address that cannot be used, or a call that got no
	// response.
	Unreachable Kind = "unreachable"
	// Refused is a certificate of a peer that is not accepted.
	Refused Kind = "refused"
	// Busy is a message or call that was not queued.
	Busy Kind = "busy"
	// Closed is a message or call that ended because this VM closed its Transport. It says
	// nothing about the other VM.
	Closed Kind = "closed"
)

// An Error is a failure to listen, to load or create keys, to verify a peer or
// to call one.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// A Handler handles the messages and calls of peers. Its methods may be called
// from several goroutines at once.
type Handler interface {
	// Message handles a message from the VM.
	Message(ctx context.Context, from ident.VMID, body []byte)
	// Call returns the response to a call from the VM.
	Call(ctx context.Context, from ident.VMID, body []byte) []byte
}

// A Transport sends messages and calls to other VMs and receives theirs. See
// Listen.
type Transport struct {
	identity Identity
	handler  Handler
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	workers  *task.Group

	mu sync.Mutex
	// links has at most maxPeers entries.
	links map[ident.VMID]*link

	bytesOut, bytesIn, messagesOut, messagesIn, dropped, dials, refused atomic.Int64
}

// A queueItem is a message or the request of a call.
type queueItem struct {
	body []byte
	// response receives the result of a call; nil for a message.
	response chan callResult
	// ctx is done when nobody waits for the response; nil for a message.
	ctx context.Context
}

type callResult struct {
	body []byte
	err  error
}

// A link is the outbound queue to one VM. Its goroutine, sendLoop, owns the
// connection.
type link struct {
	vm      ident.VMID
	address string
	queue   chan queueItem
	// close ends sendLoop.
	close context.CancelFunc
	// pending counts the messages and calls that are queued or in progress.
	pending atomic.Int64
	// usedAt is when a message or call was last queued. It is guarded by Transport.mu.
	usedAt time.Time
	// respondedAt is when the VM last responded to a call; nil if it never did.
	respondedAt atomic.Pointer[time.Time]
}

// Stats are totals since the start of the Transport. Bytes are those of bodies.
// Dropped counts messages that were not sent and calls whose dial failed, Refused the
// messages and calls for which there was no link. Links is the number of links in use.
type Stats struct {
	BytesOut, BytesIn, MessagesOut, MessagesIn, Dropped, Dials, Refused, Links int64
}

// An Identity provides the TLS configurations that authenticate a VM and its
// peers. Keys and Pinned implement it.
type Identity interface {
	// validate returns an error when the identity cannot be used.
	validate() error
	// serverConfig returns a configuration that accepts every VM of the deployment.
	serverConfig() *tls.Config
	// clientConfig returns a configuration that accepts only the VM of that name.
	clientConfig(vm string) (*tls.Config, error)
}

// Listen starts a Transport on a UDP address, IP:port.
func Listen(address string, identity Identity, handler Handler) (*Transport, error) {
	if err := identity.validate(); err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, &Error{"listen", Unreachable, err}
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, &Error{"listen", Unreachable, err}
	}
	t := &Transport{
		identity: identity, handler: handler, quic: &quic.Transport{Conn: conn},
		links: map[ident.VMID]*link{}, workers: task.NewGroup(maxWorkers),
	}
	t.listener, err = t.quic.Listen(identity.serverConfig(), &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingUniStreams: 256})
	if err != nil {
		return nil, errors.Join(&Error{"listen", Unreachable, err}, conn.Close())
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.workers.Go(t.ctx, t.acceptConnections)
	return t, nil
}

// Address returns the local UDP address as IP:port.
func (t *Transport) Address() string { return t.quic.Conn.LocalAddr().String() }

// Stats returns the transport's totals.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	links := len(t.links)
	t.mu.Unlock()
	return Stats{
		t.bytesOut.Load(), t.bytesIn.Load(), t.messagesOut.Load(),
		t.messagesIn.Load(), t.dropped.Load(), t.dials.Load(), t.refused.Load(), int64(links),
	}
}

// Close closes all connections and waits for the goroutines of the Transport.
func (t *Transport) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.workers.Wait()
	err = errors.Join(err, t.quic.Close())
	return errors.Join(err, t.quic.Conn.Close())
}

// Send queues a message to a VM. It does not wait for room in the queue: when
// the queue is full the message is dropped.
func (t *Transport) Send(vm ident.VMID, address string, body []byte) {
	if t.enqueue(vm, address, queueItem{body: body}) != nil {
		t.dropped.Add(1)
	}
}

// Call sends a request to a VM and waits for the response.
func (t *Transport) Call(ctx context.Context, vm ident.VMID, address string, body []byte) ([]byte, error) {
	response := make(chan callResult, 1)
	if err := t.enqueue(vm, address, queueItem{body: body, response: response, ctx: ctx}); err != nil {
		return nil, err
	}
	var r callResult
	select {
	case r = <-response:
	case <-ctx.Done():
		r.err = &Error{"call", Unreachable, fmt.Errorf("%w; %s", ctx.Err(), t.linkState(vm))}
	case <-t.ctx.Done():
		r.err = t.ctx.Err()
	}
	if r.err != nil && t.ctx.Err() != nil {
		return nil, &Error{"call", Closed, r.err}
	}
	return r.body, r.err
}

// linkState describes the link to a VM, for errors.
func (t *Transport) linkState(vm ident.VMID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[vm]
	if l == nil {
		return "no link"
	}
	respondedAt := l.respondedAt.Load()
	if respondedAt == nil {
		return "no response on this link so far"
	}
	return fmt.Sprintf("last response %v ago", time.Since(*respondedAt).Round(time.Millisecond))
}

// enqueue adds an item to the queue of a VM's link. It starts a new link when
// there is none or the address has changed. It returns an error when the queue is
// full, when maxPeers other links are in use or when the Transport is closed.
func (t *Transport) enqueue(vm ident.VMID, address string, item queueItem) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.ctx.Err(); err != nil {
		return &Error{"queue", Closed, err}
	}
	l := t.links[vm]
	if l == nil || l.address != address {
		if len(t.links) >= maxPeers && !t.closeIdleLink() {
			t.refused.Add(1)
			return &Error{"queue", Busy, fmt.Errorf("%s: %d links to other VMs are in use", vm, len(t.links))}
		}
		l = &link{vm: vm, address: address, queue: make(chan queueItem, queueLength)}
		var ctx context.Context
		ctx, l.close = context.WithCancel(t.ctx)
		t.links[vm] = l
		if !t.workers.Go(ctx, func(ctx context.Context) { t.sendLoop(ctx, l) }) {
			l.close()
			return &Error{"queue", Closed, t.ctx.Err()}
		}
	}
	l.usedAt = time.Now()
	l.pending.Add(1)
	select {
	case l.queue <- item:
		return nil
	default:
		l.pending.Add(-1)
		return &Error{"queue", Busy, fmt.Errorf("%s: %d messages and calls wait", vm, len(l.queue))}
	}
}

// closeIdleLink closes the link that was not used for the longest time, among those on
// which no message or call is in progress, and returns false if there is none. The lock
// must be held.
func (t *Transport) closeIdleLink() bool {
	var oldest *link
	for _, l := range t.links {
		if l.pending.Load() == 0 && (oldest == nil || l.usedAt.Before(oldest.usedAt)) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.links, oldest.vm)
	oldest.close()
	return true
}

// sendLoop sends the queued messages and calls of a link until the queue has
// been empty for idleTimeout.
func (t *Transport) sendLoop(ctx context.Context, l *link) {
	defer l.close()
	var conn *connection
	defer func() {
		if conn != nil {
			// If the close is lost, the peer's idle timeout ends the connection.
			_ = conn.CloseWithError(closeCode, "idle")
		}
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case item := <-l.queue:
			conn = t.deliver(conn, l, item)
			idle.Reset(idleTimeout)
		case <-idle.C:
			if t.removeIfIdle(l) {
				return
			}
			idle.Reset(idleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// removeIfIdle removes a link and returns true, or returns false when its queue
// is not empty.
func (t *Transport) removeIfIdle(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	if t.links[l.vm] == l {
		delete(t.links, l.vm)
	}
	return true
}

// deliver sends an item over conn, or over a new connection when conn is nil or
// closed. It returns the connection for the next item, or nil when the dial
// failed. A call runs in its own goroutine.
func (t *Transport) deliver(conn *connection, l *link, item queueItem) *connection {
	if item.ctx != nil && item.ctx.Err() != nil {
		// The caller has given up while other items were sent.
		l.pending.Add(-1)
		return conn
	}
	if conn == nil || !conn.usable(time.Now()) {
		dialled, err := t.dial(l)
		if err != nil {
			t.dropped.Add(1)
			if item.response != nil {
				item.response <- callResult{err: &Error{"call", Unreachable, err}}
			}
			l.pending.Add(-1)
			return nil
		}
		conn = &connection{Conn: dialled}
	}
	if item.response != nil {
		t.workers.Go(t.ctx, func(ctx context.Context) {
			defer l.pending.Add(-1)
			t.call(ctx, conn, l, item)
		})
		return conn
	}
	defer l.pending.Add(-1)
	if err := t.writeMessage(conn.Conn, item.body); err != nil {
		t.dropped.Add(1)
	}
	return conn
}

// call sends the request of a call and passes on the response, until the caller gives up or
// ctx is done.
func (t *Transport) call(ctx context.Context, conn *connection, l *link, item queueItem) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(item.ctx, cancel)()
	conn.begin(time.Now())
	// A VM that responds acknowledges the request long before it answers.
	silence := time.AfterFunc(maxSilence, func() { conn.usable(time.Now()) })
	defer silence.Stop()
	body, err := t.roundTrip(ctx, conn.Conn, item.body)
	if err == nil {
		now := time.Now()
		l.respondedAt.Store(&now)
	}
	conn.end(err == nil)
	item.response <- callResult{body, err}
}

func (t *Transport) dial(l *link) (*quic.Conn, error) {
	tlsConfig, err := t.identity.clientConfig(string(l.vm))
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	t.dials.Add(1)
	return t.quic.Dial(ctx, addr, tlsConfig, &quic.Config{MaxIdleTimeout: idleTimeout})
}

func (t *Transport) writeMessage(conn *quic.Conn, body []byte) error {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if _, err := stream.Write(body); err != nil {
		return err
	}
	t.bytesOut.Add(int64(len(body)))
	t.messagesOut.Add(1)
	return stream.Close()
}

// roundTrip sends the request of a call on a new stream and reads the response, until ctx
// is done.
func (t *Transport) roundTrip(ctx context.Context, conn *quic.Conn, body []byte) ([]byte, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	defer stream.CancelRead(closeCode)
	defer context.AfterFunc(ctx, func() {
		stream.CancelRead(closeCode)
		stream.CancelWrite(closeCode)
	})()
	if _, err := stream.Write(body); err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	if err := stream.Close(); err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	t.bytesOut.Add(int64(len(body)))
	response, err := bodies.Read(stream, maxMessageSize)
	if err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	t.bytesIn.Add(int64(len(response)))
	return response, nil
}
