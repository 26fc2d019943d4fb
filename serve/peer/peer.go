// Package peer carries messages between VMs over QUIC with mutual TLS. A
// message is one unidirectional stream; a call is one bidirectional stream. A
// peer without a certificate of the deployment's authority gets nothing, and a
// message is taken only from the VM that the certificate names.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/serve/task"
)

const (
	protocol       = "carawaycross/1"
	largestMessage = 2 << 20
	queueLength    = 64
	dialTimeout    = 2 * time.Second
	sendTimeout    = 2 * time.Second
	idleTimeout    = time.Minute
	mostPeers      = 64
	mostWorkers    = 1024
	closeCode      = 0
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	BadKeys     Kind = "bad-keys"
	Unreachable Kind = "unreachable"
	Refused     Kind = "refused"
)

// An Error is a failed exchange with a peer.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// A Handler takes what peers send. Its methods may be called from several
// goroutines at once.
type Handler interface {
	// Message takes a message of the VM.
	Message(ctx context.Context, from ident.VMID, body []byte)
	// Call answers a call of the VM.
	Call(ctx context.Context, from ident.VMID, body []byte) []byte
}

// A Transport meets the other VMs. See Listen.
type Transport struct {
	keys     Identity
	handler  Handler
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	workers  *task.Group

	mu sync.Mutex
	// Links has at most mostPeers entries.
	links map[ident.VMID]*link

	bytesOut, bytesIn, messagesOut, messagesIn, dropped, dials atomic.Int64
}

type outgoing struct {
	body []byte
	// Reply receives the answer of a call; nil for a message.
	reply chan result
}

type result struct {
	body []byte
	err  error
}

type link struct {
	vm      ident.VMID
	address string
	queue   chan outgoing
}

// Stats are totals since the start.
type Stats struct {
	BytesOut, BytesIn, MessagesOut, MessagesIn, Dropped, Dials int64
}

// An Identity is how a VM proves who it is and checks others: Keys or Pinned.
type Identity interface {
	// check returns an error when the identity cannot be used.
	check() error
	server() *tls.Config
	// client returns a configuration that expects the VM of that name.
	client(vm string) (*tls.Config, error)
}

// Listen starts a Transport on a UDP address, IP:port.
func Listen(address string, keys Identity, handler Handler) (*Transport, error) {
	if err := keys.check(); err != nil {
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
		keys: keys, handler: handler, quic: &quic.Transport{Conn: conn},
		links: map[ident.VMID]*link{}, workers: task.NewGroup(mostWorkers),
	}
	t.listener, err = t.quic.Listen(keys.server(), &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingUniStreams: 256})
	if err != nil {
		return nil, errors.Join(&Error{"listen", Unreachable, err}, conn.Close())
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.workers.Go(t.ctx, t.accept)
	return t, nil
}

// Address returns IP:port.
func (t *Transport) Address() string { return t.quic.Conn.LocalAddr().String() }

// Stats returns the transport's totals.
func (t *Transport) Stats() Stats {
	return Stats{
		t.bytesOut.Load(), t.bytesIn.Load(), t.messagesOut.Load(),
		t.messagesIn.Load(), t.dropped.Load(), t.dials.Load(),
	}
}

// Close ends all exchanges and waits for their goroutines.
func (t *Transport) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.workers.Wait()
	err = errors.Join(err, t.quic.Close())
	return errors.Join(err, t.quic.Conn.Close())
}

// Send queues a message to a VM. It never blocks: when the VM's queue is full
// the message is dropped.
func (t *Transport) Send(vm ident.VMID, address string, body []byte) {
	if !t.enqueue(vm, address, outgoing{body: body}) {
		t.dropped.Add(1)
	}
}

// Call sends a request to a VM and waits for the answer.
func (t *Transport) Call(ctx context.Context, vm ident.VMID, address string, body []byte) ([]byte, error) {
	reply := make(chan result, 1)
	if !t.enqueue(vm, address, outgoing{body, reply}) {
		return nil, &Error{"call", Unreachable, errors.New("the queue to " + string(vm) + " is full")}
	}
	select {
	case r := <-reply:
		return r.body, r.err
	case <-ctx.Done():
		return nil, &Error{"call", Unreachable, ctx.Err()}
	case <-t.ctx.Done():
		return nil, &Error{"call", Unreachable, t.ctx.Err()}
	}
}

func (t *Transport) enqueue(vm ident.VMID, address string, o outgoing) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	l := t.links[vm]
	if l == nil || l.address != address {
		if len(t.links) >= mostPeers {
			return false
		}
		l = &link{vm: vm, address: address, queue: make(chan outgoing, queueLength)}
		t.links[vm] = l
		if !t.workers.Go(t.ctx, func(ctx context.Context) { t.serve(ctx, l) }) {
			return false
		}
	}
	select {
	case l.queue <- o:
		return true
	default:
		return false
	}
}

// serve sends what is queued for one VM until the queue is idle.
func (t *Transport) serve(ctx context.Context, l *link) {
	var conn *quic.Conn
	defer func() {
		if conn != nil {
			// The peer notices a lost close by its idle time.
			_ = conn.CloseWithError(closeCode, "idle")
		}
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case o := <-l.queue:
			conn = t.deliver(conn, l, o)
			idle.Reset(idleTimeout)
		case <-idle.C:
			if t.retire(l) {
				return
			}
			idle.Reset(idleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// retire forgets an idle link, unless something was queued meanwhile.
func (t *Transport) retire(l *link) bool {
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

func (t *Transport) deliver(conn *quic.Conn, l *link, o outgoing) *quic.Conn {
	var err error
	if conn == nil || conn.Context().Err() != nil {
		if conn, err = t.dial(l); err != nil {
			t.dropped.Add(1)
			if o.reply != nil {
				o.reply <- result{err: &Error{"call", Unreachable, err}}
			}
			return nil
		}
	}
	if o.reply != nil {
		t.workers.Go(t.ctx, func(ctx context.Context) {
			body, err := t.exchange(ctx, conn, o.body)
			o.reply <- result{body, err}
		})
		return conn
	}
	if err := t.write(conn, o.body); err != nil {
		t.dropped.Add(1)
	}
	return conn
}

func (t *Transport) dial(l *link) (*quic.Conn, error) {
	tlsConfig, err := t.keys.client(string(l.vm))
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

func (t *Transport) write(conn *quic.Conn, body []byte) error {
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

func (t *Transport) exchange(ctx context.Context, conn *quic.Conn, body []byte) ([]byte, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	defer stream.CancelRead(closeCode)
	if _, err := stream.Write(body); err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	if err := stream.Close(); err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	t.bytesOut.Add(int64(len(body)))
	answer, err := io.ReadAll(io.LimitReader(stream, largestMessage))
	if err != nil {
		return nil, &Error{"call", Unreachable, err}
	}
	t.bytesIn.Add(int64(len(answer)))
	return answer, nil
}
