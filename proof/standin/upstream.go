package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/upstream"
)

const (
	// coldRequestFactor multiplies the time of a request while cold.
	coldRequestFactor = 5
	// coldRefusalThreshold is the number of cold refusals within
	// coldRefusalWindow that overload the upstream for overloadDuration.
	coldRefusalThreshold = 8
	coldRefusalWindow    = 100 * time.Millisecond
	overloadDuration     = time.Second
	// warmupRequests is the number of requests after which a cold upstream is
	// warm.
	warmupRequests = 20
	// loadReportInterval is how long replies repeat the same load.
	loadReportInterval = 500 * time.Millisecond
	// slowRequestFactor multiplies the time of slow requests, whose share is
	// SlowShare.
	slowRequestFactor = 20
	// restartDelay is the time from a crash to the restart.
	restartDelay = 300 * time.Millisecond
	// queuePerSlot is the number of queued requests per slot.
	queuePerSlot = 2
	// maxRequestTime bounds the deadline of a request.
	maxRequestTime = 30 * time.Second
)

// CrashWord in the query of a request makes an Upstream crash while it runs the
// request.
const CrashWord = "crash-upstream"

// An UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	Service, Name string
	Shard         uint32
	Slots         int
	// Connections limits the open connections; 0 means no limit.
	Connections int
	// ConnectionCost is the delay before a new connection is read.
	ConnectionCost time.Duration
	// ServiceTime is the mean time of one request while warm.
	ServiceTime time.Duration
	// SlowShare is the share, from 0 to 1, of the requests that take
	// slowRequestFactor times as long.
	SlowShare float64
	// Seed initializes the random number generator.
	Seed uint64
	// Oldest and Newest are the range of snapshots at the start. A Newest of 0
	// sets both to 1.
	Oldest, Newest uint32
}

// An Upstream is a stand-in for one replica of one shard of a service. It
// simulates service times, a cold start, overload, crashes and a limit of
// connections. See NewUpstream.
type Upstream struct {
	config UpstreamConfig
	slots  chan struct{}
	addr   string

	mu       sync.Mutex
	random   *rand.Rand
	oldest   uint32
	newest   uint32
	draining bool
	// coldLeft is the number of requests until the upstream is warm.
	coldLeft int
	// The upstream sheds every request until overloadedUntil.
	overloadedUntil time.Time
	// coldRefusals counts requests refused as cold since coldRefusalsSince.
	coldRefusals      int
	coldRefusalsSince time.Time
	// slowdown multiplies the time of every request.
	slowdown        float64
	running         int
	queued          int
	reportedLoad    uint32
	loadReportedAt  time.Time
	openConnections int
	totals          UpstreamTotals
	// runs counts the runs of each booking by its request key.
	runs map[string]int

	server *http.Server
	done   chan error
	// closing is true from Close to Restart, and crashing from a crash to the
	// restart after it. restarted is closed after that restart, also if it was
	// skipped or failed.
	closing, crashing bool
	restarted         chan struct{}
}

// UpstreamTotals are the counters of an Upstream.
type UpstreamTotals struct {
	// Shed, Cold and Refused count requests that did not run: shed, refused while
	// cold, refused while draining.
	Ran, Shed, Cold, Refused, Crashes int
	// Overloads counts how often cold refusals overloaded the upstream.
	Overloads int
	// MaxOpen is the highest number of open connections, MaxRunning that of running
	// requests, and MaxColdRunning that of running requests while cold.
	MaxOpen, MaxRunning int
	MaxColdRunning      int
	// LastStart is when the last request began to run.
	LastStart time.Time
}

// NewUpstream starts an Upstream that listens on address, such as 127.0.0.1:0.
func NewUpstream(address string, config UpstreamConfig) (*Upstream, error) {
	if config.Newest == 0 {
		config.Oldest, config.Newest = 1, 1
	}
	u := &Upstream{
		config: config, slots: make(chan struct{}, max(config.Slots, 1)),
		oldest: config.Oldest, newest: config.Newest, slowdown: 1,
		random: rand.New(rand.NewPCG(config.Seed, uint64(config.Shard))),
		runs:   map[string]int{}, addr: address,
	}
	return u, u.start()
}

// start listens on addr and serves in the background. The first call replaces
// port 0 in addr by the chosen port.
func (u *Upstream) start() error {
	listener, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.Path, u.handleRun)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	done := make(chan error, 1)
	u.mu.Lock()
	u.server, u.done, u.openConnections = server, done, 0
	u.mu.Unlock()
	go func() { done <- server.Serve(&limitedListener{listener, u}) }()
	return nil
}

// Address returns the listen address as IP:port.
func (u *Upstream) Address() string { return u.addr }

// Name returns the replica's name.
func (u *Upstream) Name() string { return u.config.Name }

// Close stops the server without draining and waits until it has ended, also
// after a crash. Requests in progress are lost.
func (u *Upstream) Close() error {
	u.mu.Lock()
	server, done, restarted := u.server, u.done, u.restarted
	u.closing = true
	u.mu.Unlock()
	if restarted != nil {
		<-restarted
		u.mu.Lock()
		server, done = u.server, u.done
		u.mu.Unlock()
	}
	err := server.Close()
	if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	// A second Close receives from done again.
	done <- http.ErrServerClosed
	return err
}

// Restart starts a closed Upstream on the same address. It is cold and not
// draining.
func (u *Upstream) Restart() error {
	u.mu.Lock()
	u.coldLeft, u.draining, u.closing = warmupRequests, false, false
	u.mu.Unlock()
	return u.start()
}

// MakeCold makes the upstream cold, as a loss of its caches would.
func (u *Upstream) MakeCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldLeft = warmupRequests
}

// SetDraining sets whether the upstream is draining: it then refuses requests and
// reports this in each reply.
func (u *Upstream) SetDraining(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = on
}

// SetSlowdown multiplies the time of every request; 1 is normal.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// SetSnapshots sets the range of snapshots that the upstream serves.
func (u *Upstream) SetSnapshots(oldest, newest uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.oldest, u.newest = oldest, newest
}

// Totals returns a copy of the counters.
func (u *Upstream) Totals() UpstreamTotals {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.totals
}

// Runs returns how often the booking with a request key ran.
func (u *Upstream) Runs(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// Keys returns the number of runs of each booking by request key.
func (u *Upstream) Keys() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	keys := make(map[string]int, len(u.runs))
	for k, n := range u.runs {
		keys[k] = n
	}
	return keys
}

// handleRun decodes a request, runs or refuses it and writes the reply.
func (u *Upstream) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var m schema.UpstreamRequest
	if err == nil {
		err = proto.Unmarshal(body, &m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout(r))
	defer cancel()
	reply := &schema.UpstreamReply{Attempt: m.Attempt, Shard: u.config.Shard}
	reply.Reason = u.tryAdmit(&m)
	if reply.Reason == "" {
		reply.Reason = u.execute(ctx, &m, reply)
	}
	u.writeReply(w, reply)
}

// requestTimeout returns the time left from the request's header, at most
// maxRequestTime.
func requestTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(upstream.DeadlineHeader), 10, 64)
	if err != nil || ms <= 0 {
		return maxRequestTime
	}
	return min(time.Duration(ms)*time.Millisecond, maxRequestTime)
}

// tryAdmit counts the request as queued and returns an empty string, or returns
// the reason of a refusal.
func (u *Upstream) tryAdmit(m *schema.UpstreamRequest) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.draining:
		u.totals.Refused++
		return "draining"
	case time.Now().Before(u.overloadedUntil):
		u.totals.Shed++
		return "shed"
	case m.Snapshot != 0 && (m.Snapshot < u.oldest || m.Snapshot > u.newest):
		return "gone"
	case u.coldLeft > 0 && u.running+u.queued >= 1:
		u.totals.Cold++
		u.countColdRefusal()
		return "cold"
	case u.queued >= queuePerSlot*cap(u.slots):
		u.totals.Shed++
		return "shed"
	}
	u.queued++
	return ""
}

// countColdRefusal counts a request that was refused because the upstream was
// cold and busy. coldRefusalThreshold of them within coldRefusalWindow overload
// the upstream: it sheds all requests for overloadDuration. The lock must be held.
func (u *Upstream) countColdRefusal() {
	now := time.Now()
	if now.Sub(u.coldRefusalsSince) > coldRefusalWindow {
		u.coldRefusalsSince, u.coldRefusals = now, 0
	}
	u.coldRefusals++
	if u.coldRefusals >= coldRefusalThreshold {
		u.overloadedUntil = now.Add(overloadDuration)
		u.totals.Overloads++
	}
}

// execute waits for a slot, runs the request for its simulated duration and sets
// the result of the reply. It returns the reason of a refusal, or an empty
// string.
func (u *Upstream) execute(ctx context.Context, m *schema.UpstreamRequest, reply *schema.UpstreamReply) string {
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		u.mu.Lock()
		u.queued--
		u.mu.Unlock()
		return "shed"
	}
	defer func() { <-u.slots }()
	duration := u.beginRequest(m)
	defer u.endRequest()
	if bytes.Contains(m.Query, []byte(CrashWord)) {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	clock.Sleep(ctx, duration)
	if m.Snapshot == 0 && m.RequestKey == "" {
		m.Snapshot = u.newestSnapshot()
	}
	reply.Snapshot = m.Snapshot
	reply.Result = fmt.Appendf(nil, "%s/%d@%d", u.config.Service, u.config.Shard, m.Snapshot)
	return ""
}

// beginRequest counts the request as running and returns its simulated duration.
func (u *Upstream) beginRequest(m *schema.UpstreamRequest) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queued--
	u.running++
	u.totals.Ran++
	u.totals.LastStart = time.Now()
	u.totals.MaxRunning = max(u.totals.MaxRunning, u.running)
	if m.RequestKey != "" {
		u.runs[m.RequestKey]++
	}
	duration := float64(u.config.ServiceTime) * u.slowdown * (0.5 + u.random.Float64())
	if u.random.Float64() < u.config.SlowShare {
		duration *= slowRequestFactor
	}
	if u.coldLeft > 0 {
		u.coldLeft--
		duration *= coldRequestFactor
		u.totals.MaxColdRunning = max(u.totals.MaxColdRunning, u.running)
	}
	return time.Duration(duration)
}

func (u *Upstream) endRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *Upstream) newestSnapshot() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.newest
}

// crash closes the listener and every connection, and restarts the upstream cold
// after restartDelay.
func (u *Upstream) crash() {
	u.mu.Lock()
	u.totals.Crashes++
	if u.closing || u.crashing {
		u.mu.Unlock()
		return
	}
	u.crashing = true
	u.restarted = make(chan struct{})
	server, done, restarted := u.server, u.done, u.restarted
	u.mu.Unlock()
	// Closing the connections takes the lock, so it must not be held here. A
	// failed close of the listener does not matter after a crash.
	_ = server.Close()
	go u.restartAfterCrash(done, restarted)
}

// restartAfterCrash waits until the server has ended and restarts it, unless the
// Upstream was closed meanwhile. Without a restart, it passes the error of the
// server on to Close.
func (u *Upstream) restartAfterCrash(done chan error, restarted chan struct{}) {
	defer close(restarted)
	serveErr := <-done
	time.Sleep(restartDelay)
	u.mu.Lock()
	closing := u.closing
	u.crashing = false
	u.mu.Unlock()
	if closing || u.Restart() != nil {
		done <- serveErr
	}
}

// writeReply adds the state of the upstream to a reply and writes it, with status
// 503 if it has a reason.
func (u *Upstream) writeReply(w http.ResponseWriter, reply *schema.UpstreamReply) {
	u.mu.Lock()
	reply.OldestSnapshot, reply.NewestSnapshot = u.oldest, u.newest
	reply.Draining = u.draining
	if now := time.Now(); now.Sub(u.loadReportedAt) > loadReportInterval {
		u.loadReportedAt, u.reportedLoad = now, uint32(u.running+u.queued)
	}
	reply.Load = u.reportedLoad
	u.mu.Unlock()
	body, err := proto.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", upstream.ContentType)
	if reply.Reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(body)
}
