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
	// queueAtReplica is the number of requests that wait for a slot.
	queueAtReplica = 24
	longestAttempt = 30 * time.Second
	recordSize     = 16
	recordsAPart   = 8
)

// A ReplicaConfig describes a stand-in replica of a route's service.
type ReplicaConfig struct {
	catalogue.Replica
	// Work is the mean time of one request.
	Work time.Duration
	Seed uint64
}

// ReplicaFaults are the faults of a Replica; the zero value has none.
type ReplicaFaults struct {
	// Slow multiplies the time of a request; 0 is 1.
	Slow float64
	// LoseShare of the answers are lost with their connection, after the request
	// ran; FailShare of the requests fail; StrayShare of the answers come twice.
	LoseShare, FailShare, StrayShare float64
	// Hang lets requests wait without an answer.
	Hang bool
}

// A Run is one request that a Replica ran.
type Run struct {
	ID, Method, Target string
	At                 time.Time
	Body               string
}

// A Replica is a stand-in for one replica of a route's service. See NewReplica.
type Replica struct {
	config ReplicaConfig
	slots  chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	faults  ReplicaFaults
	waiting int
	runs    []Run
	// LastArrival is when the last request reached it, refused ones too.
	lastArrival time.Time
	arrivals    int

	server *http.Server
	done   chan error
}

// NewReplica starts a stand-in at address, such as 127.0.0.1:0.
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

// Runs returns the requests that it ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Arrivals returns how many requests reached it, and when the last one did.
func (r *Replica) Arrivals() (int, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals, r.lastArrival
}

// Close stops the stand-in at once and waits for it.
func (r *Replica) Close() error {
	err := r.server.Close()
	if served := <-r.done; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	a := platform.ReadAttempt(request)
	var body bytes.Buffer
	if _, err := body.ReadFrom(request.Body); err != nil {
		return
	}
	if !r.arrived() {
		a.Refuse(w)
		return
	}
	if a.ExpectedReplica != "" && a.ExpectedReplica != r.config.ID {
		r.leave()
		a.Misdirected(w)
		return
	}
	within := a.Left
	if within <= 0 {
		within = longestAttempt
	}
	ctx, cancel := context.WithTimeout(request.Context(), within)
	defer cancel()
	select {
	case r.slots <- struct{}{}:
		r.leave()
	case <-ctx.Done():
		r.leave()
		a.Refuse(w)
		return
	}
	defer func() { <-r.slots }()
	r.run(ctx, w, a, Run{a.ID, request.Method, request.RequestURI, time.Now(), body.String()})
}

// arrived counts a request and reports whether there is room for it to wait.
func (r *Replica) arrived() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals++
	r.lastArrival = time.Now()
	if r.waiting >= queueAtReplica {
		return false
	}
	r.waiting++
	return true
}

func (r *Replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

func (r *Replica) run(ctx context.Context, w http.ResponseWriter, a platform.Attempt, run Run) {
	r.mu.Lock()
	f := r.faults
	r.runs = append(r.runs, run)
	chance := r.random.Float64()
	took := time.Duration(float64(r.config.Work) * (0.6 + 0.8*r.random.Float64()) * max(f.Slow, 1))
	r.mu.Unlock()
	if f.Hang {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	clock.Sleep(ctx, took)
	content := r.Content(run.ID)
	switch {
	case chance < f.LoseShare:
		panic(http.ErrAbortHandler)
	case chance < f.LoseShare+f.FailShare:
		a.Answer(w, http.StatusInternalServerError, RunDigest(r.config.ID, run.ID, nil), nil)
	case chance < f.LoseShare+f.FailShare+f.StrayShare:
		r.twice(w, a, run.ID, content)
	default:
		a.Answer(w, http.StatusOK, RunDigest(r.config.ID, run.ID, content), content)
	}
}

// twice answers a request two times on its connection.
func (r *Replica) twice(w http.ResponseWriter, a platform.Attempt, id string, content []byte) {
	rec := &recorder{header: http.Header{}}
	a.Answer(rec, http.StatusOK, RunDigest(r.config.ID, id, content), content)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	// The sender notices a connection that did not close in order.
	defer func() { _ = conn.Close() }()
	for range 2 {
		fmt.Fprint(buffered, "HTTP/1.1 200 OK\r\n")
		// A buffered write fails only with the connection.
		_ = rec.header.Write(buffered)
		fmt.Fprint(buffered, "\r\n")
		_, _ = buffered.Write(rec.body.Bytes())
	}
	_ = buffered.Flush()
	time.Sleep(r.config.Work)
}

type recorder struct {
	header http.Header
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
func (r *recorder) WriteHeader(int)             {}

// Content returns what the replica answers to the request of that id: records
// that follow from its service and the id.
func (r *Replica) Content(id string) []byte { return ContentOf(string(r.config.Service), id) }

// ContentOf returns the records of a service for a request.
func ContentOf(service, id string) []byte {
	var out []byte
	for i := range recordsAPart {
		sum := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", service, id, i))
		out = fmt.Appendf(out, "%016x", sum)[:len(out)+recordSize]
	}
	return out
}

// RunDigest returns the digest of a replica's reply.
func RunDigest[T ~string](replica T, id string, content []byte) string {
	return fmt.Sprintf("%s.%s.%x", replica, id, xxhash.Sum64(content))
}
