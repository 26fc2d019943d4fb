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
	coldSlowdown  = 5
	coldOverload  = 8
	pressSpan     = 100 * time.Millisecond
	fallOver      = time.Second
	warmAfter     = 20
	loadLag       = 500 * time.Millisecond
	slowSlowdown  = 20
	restartDelay  = 300 * time.Millisecond
	queuePerSlot  = 2
	longestInWork = 30 * time.Second
)

// CrashWord in a request's body makes an Upstream crash while it runs it.
const CrashWord = "crash-upstream"

// An UpstreamConfig describes a stand-in upstream.
type UpstreamConfig struct {
	Service, Name string
	Shard         uint32
	Slots         int
	// Connections bounds the open connections; 0 for no bound.
	Connections    int
	ConnectionCost time.Duration
	// ServiceTime is the mean time of one request while warm.
	ServiceTime time.Duration
	// SlowShare of the requests take slowSlowdown times as long.
	SlowShare float64
	Seed      uint64
	// Snapshots held at the start, oldest to newest; 0 and 0 mean 1 and 1.
	Oldest, Newest uint32
}

// An Upstream is a stand-in for one replica of one shard. See NewUpstream.
type Upstream struct {
	config UpstreamConfig
	slots  chan struct{}
	addr   string

	mu       sync.Mutex
	random   *rand.Rand
	oldest   uint32
	newest   uint32
	draining bool
	// ColdLeft counts the requests until the upstream is warm.
	coldLeft int
	overTill time.Time
	// Presses counts requests refused as cold since pressedAt.
	presses   int
	pressedAt time.Time
	factor    float64
	inWork    int
	waiting   int
	report    uint32
	reported  time.Time
	open      int
	// Totals for checks.
	totals UpstreamTotals
	runs   map[string]int

	server *http.Server
	done   chan error
	// Closing is true from Close to Restart; crashing from a crash until its
	// restart, which closes restarted.
	closing, crashing bool
	restarted         chan struct{}
}

// UpstreamTotals count what an Upstream saw.
type UpstreamTotals struct {
	Ran, Shed, Cold, Refused, Crashes int
	FellOver                          int
	MostOpen, MostInWork              int
	MostColdInWork                    int
	// LastStart is when the last request began to run.
	LastStart time.Time
}

// NewUpstream starts a stand-in at address, such as 127.0.0.1:0.
func NewUpstream(address string, config UpstreamConfig) (*Upstream, error) {
	if config.Newest == 0 {
		config.Oldest, config.Newest = 1, 1
	}
	u := &Upstream{
		config: config, slots: make(chan struct{}, max(config.Slots, 1)),
		oldest: config.Oldest, newest: config.Newest, factor: 1,
		random: rand.New(rand.NewPCG(config.Seed, uint64(config.Shard))),
		runs:   map[string]int{}, addr: address,
	}
	return u, u.start()
}

func (u *Upstream) start() error {
	listener, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.Path, u.run)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	done := make(chan error, 1)
	u.mu.Lock()
	u.server, u.done, u.open = server, done, 0
	u.mu.Unlock()
	go func() { done <- server.Serve(&costlyListener{listener, u}) }()
	return nil
}

// Address returns IP:port.
func (u *Upstream) Address() string { return u.addr }

// Name returns the replica's name.
func (u *Upstream) Name() string { return u.config.Name }

// Close stops the stand-in at once and waits for it; requests in it are lost.
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
	if served := <-done; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	// A second Close finds the end reported again.
	done <- http.ErrServerClosed
	return err
}

// Restart starts a closed stand-in again on its address, cold.
func (u *Upstream) Restart() error {
	u.mu.Lock()
	u.coldLeft, u.draining, u.closing = warmAfter, false, false
	u.mu.Unlock()
	return u.start()
}

// Chill makes the upstream cold without warning.
func (u *Upstream) Chill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldLeft = warmAfter
}

// SetDraining starts or ends the draining signal.
func (u *Upstream) SetDraining(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = on
}

// SetSlowdown multiplies the time of every request; 1 is normal.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.factor = factor
}

// SetSnapshots changes the held snapshots.
func (u *Upstream) SetSnapshots(oldest, newest uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.oldest, u.newest = oldest, newest
}

// Totals returns what the upstream saw so far.
func (u *Upstream) Totals() UpstreamTotals {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.totals
}

// Runs returns how often the booking of that key ran.
func (u *Upstream) Runs(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// Keys returns the keys of the bookings that ran.
func (u *Upstream) Keys() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	keys := make(map[string]int, len(u.runs))
	for k, n := range u.runs {
		keys[k] = n
	}
	return keys
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var m schema.UpstreamRequest
	if err == nil {
		err = proto.Unmarshal(body, &m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadlineOf(r))
	defer cancel()
	reply := &schema.UpstreamReply{Attempt: m.Attempt, Shard: u.config.Shard}
	reply.Reason = u.accept(&m)
	if reply.Reason == "" {
		reply.Reason = u.work(ctx, &m, reply)
	}
	u.answer(w, reply)
}

func deadlineOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(upstream.DeadlineHeader), 10, 64)
	if err != nil || ms <= 0 {
		return longestInWork
	}
	return min(time.Duration(ms)*time.Millisecond, longestInWork)
}

// accept returns why the request is refused, or an empty reason.
func (u *Upstream) accept(m *schema.UpstreamRequest) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.draining:
		u.totals.Refused++
		return "draining"
	case time.Now().Before(u.overTill):
		u.totals.Shed++
		return "shed"
	case m.Snapshot != 0 && (m.Snapshot < u.oldest || m.Snapshot > u.newest):
		return "gone"
	case u.coldLeft > 0 && u.inWork+u.waiting >= 1:
		u.totals.Cold++
		u.pressed()
		return "cold"
	case u.waiting >= queuePerSlot*cap(u.slots):
		u.totals.Shed++
		return "shed"
	}
	u.waiting++
	return ""
}

// pressed counts a request that came while the upstream was cold and busy. Too
// many in a short time make it fall over and serve nothing for a while.
func (u *Upstream) pressed() {
	now := time.Now()
	if now.Sub(u.pressedAt) > pressSpan {
		u.pressedAt, u.presses = now, 0
	}
	u.presses++
	if u.presses >= coldOverload {
		u.overTill = now.Add(fallOver)
		u.totals.FellOver++
	}
}

func (u *Upstream) work(ctx context.Context, m *schema.UpstreamRequest, reply *schema.UpstreamReply) string {
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
		return "shed"
	}
	defer func() { <-u.slots }()
	took := u.begin(m)
	defer u.end()
	if bytes.Contains(m.Query, []byte(CrashWord)) {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	clock.Sleep(ctx, took)
	if m.Snapshot == 0 && m.RequestKey == "" {
		m.Snapshot = u.newestSnapshot()
	}
	reply.Snapshot = m.Snapshot
	reply.Result = fmt.Appendf(nil, "%s/%d@%d", u.config.Service, u.config.Shard, m.Snapshot)
	return ""
}

// begin counts the request as running and returns its time.
func (u *Upstream) begin(m *schema.UpstreamRequest) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	u.inWork++
	u.totals.Ran++
	u.totals.LastStart = time.Now()
	u.totals.MostInWork = max(u.totals.MostInWork, u.inWork)
	if m.RequestKey != "" {
		u.runs[m.RequestKey]++
	}
	took := float64(u.config.ServiceTime) * u.factor * (0.5 + u.random.Float64())
	if u.random.Float64() < u.config.SlowShare {
		took *= slowSlowdown
	}
	if u.coldLeft > 0 {
		u.coldLeft--
		took *= coldSlowdown
		u.totals.MostColdInWork = max(u.totals.MostColdInWork, u.inWork)
	}
	return time.Duration(took)
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inWork--
}

func (u *Upstream) newestSnapshot() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.newest
}

// crash closes every connection and starts again, cold, after a while.
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
	// Closing the connections takes the lock; the error is of no use here.
	_ = server.Close()
	go u.restartAfterCrash(done, restarted)
}

func (u *Upstream) restartAfterCrash(done chan error, restarted chan struct{}) {
	defer close(restarted)
	ended := <-done
	time.Sleep(restartDelay)
	u.mu.Lock()
	closing := u.closing
	u.crashing = false
	u.mu.Unlock()
	if closing || u.Restart() != nil {
		done <- ended
	}
}

func (u *Upstream) answer(w http.ResponseWriter, reply *schema.UpstreamReply) {
	u.mu.Lock()
	reply.OldestSnapshot, reply.NewestSnapshot = u.oldest, u.newest
	reply.Draining = u.draining
	if now := time.Now(); now.Sub(u.reported) > loadLag {
		u.reported, u.report = now, uint32(u.inWork+u.waiting)
	}
	reply.Load = u.report
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
