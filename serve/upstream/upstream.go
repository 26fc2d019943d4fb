// Package upstream carries attempts to upstreams over HTTP.
//
// An attempt is POST /v1/run with an UpstreamRequest in protobuf and the
// header Deadline-Ms, the milliseconds left. An upstream that ran it answers
// 200; one that did not answers 503. Both carry an UpstreamReply.
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
	"carawaycross.example/carawaycross/schema"
)

// The protocol's names.
const (
	Path           = "/v1/run"
	DeadlineHeader = "Deadline-Ms"
	ContentType    = "application/x-protobuf"
)

const (
	dialTimeout  = 2 * time.Second
	idleTimeout  = 5 * time.Minute
	largestReply = 16 << 20
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	BadReply Kind = "bad-reply"
)

// An Error is a failed exchange with an upstream.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("upstream: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

type pool struct {
	transport *http.Transport
	share     int
}

// A Client sends attempts. It keeps connections warm, at most the VM's share a
// replica, and opens them one at a time. The zero value is ready.
type Client struct {
	mu sync.Mutex
	// Pools holds one transport a service, made for the current share.
	pools map[ident.ServiceID]pool
	gates map[string]chan struct{}
	// BytesOut and bytesIn count message bodies.
	bytesOut, bytesIn, dials atomic.Int64
}

// Stats are totals since the start.
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

// Send carries out one attempt.
func (c *Client) Send(ctx context.Context, a *node.Action) node.Reply {
	reply := node.Reply{Attempt: a.Attempt}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.post(ctx, a)
	if err != nil {
		reply.Outcome = failure(ctx, connected.Load())
		return reply
	}
	defer response.Body.Close()
	var m schema.UpstreamReply
	if err := c.read(response, &m); err != nil {
		reply.Outcome = failure(ctx, true)
		var e *Error
		if errors.As(err, &e) {
			reply.Outcome = replica.Failed
		}
		return reply
	}
	return decode(reply, response.StatusCode, &m)
}

// failure classifies an exchange without a reply. Without a connection nothing
// was sent, whatever ended it.
func failure(ctx context.Context, connected bool) replica.Outcome {
	switch {
	case !connected:
		return replica.Unsent
	case ctx.Err() != nil:
		return replica.Aborted
	default:
		return replica.Broken
	}
}

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
		Header:        http.Header{"Content-Type": contentTypes},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	if a.Left > 0 {
		request.Header[DeadlineHeader] = []string{strconv.FormatInt(a.Left.Milliseconds(), 10)}
	}
	c.bytesOut.Add(int64(len(body)))
	return c.transport(a).RoundTrip(request.WithContext(ctx))
}

// contentTypes is the value of the header of every request; it is not written.
var contentTypes = []string{ContentType}

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

// readBody reads a body, at once when its length is known.
func readBody(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= largestReply {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, largestReply))
}

func decode(reply node.Reply, status int, m *schema.UpstreamReply) node.Reply {
	if ident.AttemptID(m.Attempt) != reply.Attempt {
		// The reply of another attempt is no result of this one.
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
	reply.Outcome = outcome(status, m.Reason)
	return reply
}

func outcome(status int, reason string) replica.Outcome {
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

// transport returns the service's transport for the action's share. When the
// share changed, a new one replaces the old, whose requests end undisturbed.
func (c *Client) transport(a *node.Action) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[a.Service]
	if ok && p.share == a.Connections {
		return p.transport
	}
	if ok {
		p.transport.CloseIdleConnections()
	}
	if c.pools == nil {
		c.pools = map[ident.ServiceID]pool{}
		c.gates = map[string]chan struct{}{}
	}
	p = pool{share: a.Connections, transport: &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     a.Connections,
		MaxIdleConnsPerHost: a.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	c.pools[a.Service] = p
	return p.transport
}

func (c *Client) gate(address string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gates[address]
	if g == nil {
		g = make(chan struct{}, 1)
		c.gates[address] = g
	}
	return g
}

// dial opens one connection at a time to an address.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	g := c.gate(address)
	select {
	case g <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-g }()
	c.dials.Add(1)
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}
