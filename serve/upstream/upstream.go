// Package upstream sends attempts to upstreams over HTTP.
//
// An attempt is POST /v1/run with an UpstreamRequest in protobuf and the
// header Deadline-Ms, the milliseconds until the deadline. An upstream that ran the
// attempt responds with 200, one that refused it with 503. The body of both is an
// UpstreamReply.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/snapshot"
	bodies "carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/schema"
)

// The path, header and content type of an attempt.
const (
	Path           = "/v1/run"
	DeadlineHeader = "Deadline-Ms"
	ContentType    = "application/x-protobuf"
)

const (
	dialTimeout   = 2 * time.Second
	idleTimeout   = 5 * time.Minute
	maxReplyBytes = 16 << 20
	maxHeadBytes  = 64 << 10
	// maxTrustedLength is the longest body whose buffer is allocated before it arrives.
	maxTrustedLength = 64 << 10
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// BadReply means that the body of a reply could not be decoded.
	BadReply Kind = "bad-reply"
)

// An Error states why an exchange with an upstream failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("upstream: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// A pool holds the connections to the replicas of one service.
type pool struct {
	transport *http.Transport
	// connections is the maximum number of connections per replica.
	connections int
}

// A Client sends attempts. It keeps idle connections open, limits the connections to
// each replica to this VM's share, and opens them one at a time per address. The zero
// value is ready to use.
type Client struct {
	mu sync.Mutex
	// pools holds one pool per service, made for the current limit of connections.
	pools map[ident.ServiceID]pool
	// dialSemaphores holds one semaphore per address.
	dialSemaphores map[string]chan struct{}
	// bytesOut and bytesIn count the bytes of message bodies.
	bytesOut, bytesIn, dials atomic.Int64
}

// Stats holds totals since the start of the process.
type Stats struct {
	BytesOut, BytesIn, Dials int64
}

// Stats returns the client's totals.
func (c *Client) Stats() Stats {
	return Stats{c.bytesOut.Load(), c.bytesIn.Load(), c.dials.Load()}
}

// Totals returns the client's totals, for metrics.
func (c *Client) Totals() any { return c.Stats() }

// Close closes the idle connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
	return nil
}

// Send sends one attempt and returns its reply. Without a valid reply, the Outcome
// states why.
func (c *Client) Send(ctx context.Context, a *node.Action) node.Reply {
	reply := node.Reply{Attempt: a.Attempt}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.post(ctx, a)
	if err != nil {
		reply.Outcome = failureOutcome(ctx, connected.Load())
		return reply
	}
	defer response.Body.Close()
	var m schema.UpstreamReply
	if err := c.read(response, &m); err != nil {
		reply.Outcome = failureOutcome(ctx, true)
		var e *Error
		if errors.As(err, &e) {
			reply.Outcome = replica.Failed
		}
		return reply
	}
	return decodeReply(reply, response.StatusCode, &m)
}

// failureOutcome returns the outcome of an attempt without a reply. Without a connection
// it is Unsent even if the context was cancelled.
func failureOutcome(ctx context.Context, connected bool) replica.Outcome {
	switch {
	case !connected:
		return replica.Unsent
	case ctx.Err() != nil:
		return replica.Aborted
	default:
		return replica.Broken
	}
}

// post sends the request for an attempt.
func (c *Client) post(ctx context.Context, a *node.Action) (*http.Response, error) {
	body, err := proto.Marshal(&schema.UpstreamRequest{
		Attempt: uint64(a.Attempt), Service: string(a.Service), Shard: uint32(a.Shard),
		Snapshot: uint32(a.Snapshot), Query: a.Body, RequestKey: string(a.Key),
	})
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: http.MethodPost, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: a.Address,
		URL:           &url.URL{Scheme: "http", Host: a.Address, Path: Path},
		Header:        http.Header{"Content-Type": contentTypeValues},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	if a.Left > 0 {
		request.Header[DeadlineHeader] = []string{strconv.FormatInt(a.Left.Milliseconds(), 10)}
	}
	c.bytesOut.Add(int64(len(body)))
	return c.transport(a).RoundTrip(request.WithContext(ctx))
}

// contentTypeValues is the Content-Type header of every request. It is shared between
// requests and must not be modified.
var contentTypeValues = []string{ContentType}

// read decodes the body of a reply. The error is an *Error only if the complete body was
// received and is invalid.
func (c *Client) read(response *http.Response, m *schema.UpstreamReply) error {
	body, err := readBody(response)
	if err != nil {
		return err
	}
	c.bytesIn.Add(int64(len(body)))
	if err := proto.Unmarshal(body, m); err != nil {
		return &Error{"read", BadReply, err}
	}
	return nil
}

// readBody reads a body. It allocates the buffer once if the length is known and
// short enough to be trusted.
func readBody(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= maxTrustedLength {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return bodies.Read(response.Body, maxReplyBytes)
}

// decodeReply adds the contents of the message to reply.
func decodeReply(reply node.Reply, status int, m *schema.UpstreamReply) node.Reply {
	if ident.AttemptID(m.Attempt) != reply.Attempt {
		// The reply belongs to another attempt.
		reply.Outcome = replica.Failed
		return reply
	}
	reply.Shard = ident.ShardID(m.Shard)
	reply.Snapshot = ident.SnapshotID(m.Snapshot)
	reply.Result = m.Result
	reply.Draining = m.Draining
	reply.Load = m.Load
	reply.Held = snapshot.Range{
		Oldest: ident.SnapshotID(m.OldestSnapshot), Newest: ident.SnapshotID(m.NewestSnapshot),
	}
	for _, s := range m.Missing {
		reply.MissingBelow = append(reply.MissingBelow, ident.ShardID(s))
	}
	reply.Outcome = replyOutcome(status, m.Reason)
	return reply
}

// replyOutcome returns the outcome for the HTTP status and the reason of a reply.
func replyOutcome(status int, reason string) replica.Outcome {
	if status == http.StatusOK {
		return replica.OK
	}
	if status != http.StatusServiceUnavailable {
		return replica.Failed
	}
	switch reason {
	case "shed":
		return replica.Shed
	case "cold":
		return replica.RefusedCold
	case "draining":
		return replica.Draining
	case "gone":
		return replica.SnapshotGone
	}
	return replica.Failed
}

// transport returns the service's transport for the action's limit of connections. If
// the limit changed, it creates a new transport; requests in flight on the old one
// are not interrupted.
func (c *Client) transport(a *node.Action) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[a.Service]
	if ok && p.connections == a.Connections {
		return p.transport
	}
	if ok {
		p.transport.CloseIdleConnections()
	}
	if c.pools == nil {
		c.pools = map[ident.ServiceID]pool{}
		c.dialSemaphores = map[string]chan struct{}{}
	}
	p = pool{connections: a.Connections, transport: &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     a.Connections,
		MaxIdleConnsPerHost: a.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
	c.pools[a.Service] = p
	return p.transport
}

// dialSemaphore returns the channel of capacity 1 that limits the dials to an address.
func (c *Client) dialSemaphore(address string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	semaphore := c.dialSemaphores[address]
	if semaphore == nil {
		semaphore = make(chan struct{}, 1)
		c.dialSemaphores[address] = semaphore
	}
	return semaphore
}

// dial opens a connection. It waits while another one to the same address is being
// opened.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	semaphore := c.dialSemaphore(address)
	select {
	case semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-semaphore }()
	c.dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}
