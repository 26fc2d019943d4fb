package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
)

const (
	// maxQueued is the maximum number of requests that wait for a slot.
	maxQueued = 24
	// maxAttemptTime applies to attempts without a deadline.
	maxAttemptTime = 30 * time.Second
	// recordSize is in bytes.
	recordSize     = 16
	recordsPerPart = 8
)

// A ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	catalogue.Replica
	// Work is the mean time of one request.
	Work time.Duration
	// Seed initializes the random number generator.
	Seed uint64
}

// ReplicaFaults are the faults of a Replica; the zero value has none.
type ReplicaFaults struct {
	// Slow multiplies the time of a request; values below 1 mean 1.
	Slow float64
	// The shares are from 0 to 1. LoseShare of the requests run and then lose
	// their connection without a response, FailShare fail with status 500, and
	// StrayShare get their response twice.
	LoseShare, FailShare, StrayShare float64
	// Hang keeps requests waiting until their deadline, without a response.
	Hang bool
}

// A Run is one request that a Replica ran.
type Run struct {
	ID, Method, Target string
	At                 time.Time
	Body               string
}

// An Arrival is one request that reached a Replica, which may have refused it.
type Arrival struct {
	ID string
	At time.Time
}

// A Replica is a stand-in for one replica of a route's service. See NewReplica.
type Replica struct {
	config ReplicaConfig
	slots  chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	faults ReplicaFaults
	queued int
	runs   []Run
	// received holds all requests in the order of their arrival.
	received []Arrival

	server *http.Server
	done   chan error
}

// NewReplica starts a Replica that listens on address, such as 127.0.0.1:0.
func NewReplica(address string, config ReplicaConfig) (*Replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	config.Address = listener.Addr().String()
	r := &Replica{
		config: config, slots: make(chan struct{}, max(config.Slots, 1)), done: make(chan error, 1),
		random: rand.New(rand.NewPCG(config.Seed, 1)),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { r.done <- r.server.Serve(listener) }()
	return r, nil
}

// Entry returns the replica's entry for discovery.
func (r *Replica) Entry() catalogue.Replica { return r.config.Replica }

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Runs returns the requests that the replica ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Arrivals returns the number of requests that the replica received, including
// refused ones, and the time of the last one.
func (r *Replica) Arrivals() (int, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.received) == 0 {
		return 0, time.Time{}
	}
	return len(r.received), r.received[len(r.received)-1].At
}

// Received returns the requests that reached the replica, in order, including refused ones.
func (r *Replica) Received() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.received...)
}

// Close stops the server without draining and waits until it has ended.
func (r *Replica) Close() error {
	err := r.server.Close()
	if serveErr := <-r.done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

// serve queues a request until a slot is free and runs it. It refuses a request
// when the queue is full or the deadline passes first, and rejects one that is
// addressed to another replica.
func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	a := platform.ReadAttempt(request)
	var body bytes.Buffer
	if _, err := body.ReadFrom(request.Body); err != nil {
		return
	}
	if !r.enqueue(a.ID) {
		a.Refuse(w)
		return
	}
	if a.ExpectedReplica != "" && a.ExpectedReplica != r.config.ID {
		r.dequeue()
		a.Misdirected(w)
		return
	}
	timeout := a.Left
	if timeout <= 0 {
		timeout = maxAttemptTime
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	select {
	case r.slots <- struct{}{}:
		r.dequeue()
	case <-ctx.Done():
		r.dequeue()
		a.Refuse(w)
		return
	}
	defer func() { <-r.slots }()
	r.run(ctx, w, a, Run{a.ID, request.Method, request.RequestURI, time.Now(), body.String()})
}

// enqueue counts a request as received and, if the queue has room, as queued. It
// reports whether the request was queued.
func (r *Replica) enqueue(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, Arrival{id, time.Now()})
	if r.queued >= maxQueued {
		return false
	}
	r.queued++
	return true
}

func (r *Replica) dequeue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued--
}

// run records a request, waits for its simulated duration and writes the
// response that the faults select.
func (r *Replica) run(ctx context.Context, w http.ResponseWriter, a platform.Attempt, run Run) {
	r.mu.Lock()
	f := r.faults
	r.runs = append(r.runs, run)
	draw := r.random.Float64()
	duration := time.Duration(float64(r.config.Work) * (0.6 + 0.8*r.random.Float64()) * max(f.Slow, 1))
	r.mu.Unlock()
	if f.Hang {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	clock.Sleep(ctx, duration)
	content := r.Content(run.ID)
	switch {
	case draw < f.LoseShare:
		panic(http.ErrAbortHandler)
	case draw < f.LoseShare+f.FailShare:
		a.Answer(w, http.StatusInternalServerError, RunDigest(r.config.ID, run.ID, nil), nil)
	case draw < f.LoseShare+f.FailShare+f.StrayShare:
		r.writeTwice(w, a, run.ID, content)
	default:
		a.Answer(w, http.StatusOK, RunDigest(r.config.ID, run.ID, content), content)
	}
}

// writeTwice writes the response to a request twice on its connection, then
// closes the connection.
func (r *Replica) writeTwice(w http.ResponseWriter, a platform.Attempt, id string, content []byte) {
	rec := &recorder{header: http.Header{}}
	a.Answer(rec, http.StatusOK, RunDigest(r.config.ID, id, content), content)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	// The client detects a connection that was not closed cleanly.
	defer func() { _ = conn.Close() }()
	for range 2 {
		fmt.Fprint(buffered, "HTTP/1.1 200 OK\r\n")
		// A buffered write fails only when the connection is lost.
		_ = rec.header.Write(buffered)
		fmt.Fprint(buffered, "\r\n")
		_, _ = buffered.Write(rec.body.Bytes())
	}
	_ = buffered.Flush()
	time.Sleep(r.config.Work)
}

// A recorder is a ResponseWriter that keeps the header and the body in memory.
type recorder struct {
	header http.Header
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
func (r *recorder) WriteHeader(int)             {}

// Content returns the body of the replica's response to the request of that id.
// See ContentOf.
func (r *Replica) Content(id string) []byte { return ContentOf(string(r.config.Service), id) }

// ContentOf returns the records of a service for a request. They are derived from
// the service and the id only, so that a test can check every response.
func ContentOf(service, id string) []byte {
	var out []byte
	for i := range recordsPerPart {
		sum := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", service, id, i))
		out = fmt.Appendf(out, "%016x", sum)[:len(out)+recordSize]
	}
	return out
}

// RunDigest returns the digest of a replica's response to a request: the replica,
// the request's id and a hash of the content.
func RunDigest[T ~string](replica T, id string, content []byte) string {
	return fmt.Sprintf("%s.%s.%x", replica, id, xxhash.Sum64(content))
}
