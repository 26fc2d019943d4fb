// Package standin holds stand-ins for the systems outside: the platform's store
// and upstreams. They answer over the same protocols on loopback, with faults
// that can be switched on.
package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/clock"
	"carawaycross.example/carawaycross/schema"
)

const largestValue = 1 << 20

type object struct {
	version uint64
	value   []byte
	// Changed is closed when the object gets its next version.
	changed chan struct{}
}

// PlatformFaults are the faults of a Platform; the zero value has none.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers breaks the connection after this many writes took effect.
	LoseAnswers int
	// SilentWatch lets watches wait without an answer.
	SilentWatch bool
	// CallsPerSecond refuses calls above a rate; 0 for no bound.
	CallsPerSecond int
}

// A Platform is a stand-in for the platform's store. See NewPlatform.
type Platform struct {
	mu      sync.Mutex
	objects map[string]*object
	vms     map[string]bool
	faults  PlatformFaults
	reads   int
	writes  int
	second  int64
	inWork  int

	server *http.Server
	done   chan error
	addr   string
}

// NewPlatform starts a stand-in at address, such as 127.0.0.1:0.
func NewPlatform(address string) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		objects: map[string]*object{}, vms: map[string]bool{},
		done: make(chan error, 1), addr: listener.Addr().String(),
	}
	r := chi.NewRouter()
	r.Use(p.admit)
	r.Get("/v1/objects/{name}", p.get)
	r.Put("/v1/objects/{name}", p.put)
	r.Get("/v1/vms", p.list)
	p.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func() { p.done <- p.server.Serve(listener) }()
	return p, nil
}

// Address returns IP:port.
func (p *Platform) Address() string { return p.addr }

// Close stops the stand-in and waits for it.
func (p *Platform) Close() error {
	err := p.server.Close()
	if served := <-p.done; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVM puts a VM on the list, leaving or not.
func (p *Platform) SetVM(name string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[name] = leaving
}

// Revert sets an object back to an earlier value, as a store restored from an
// old copy would.
func (p *Platform) Revert(name string, version uint64, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store(name, version, value)
}

// Object returns the current version and value.
func (p *Platform) Object(name string) (uint64, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.objects[name]; o != nil {
		return o.version, o.value
	}
	return 0, nil
}

// Calls returns the number of calls so far: reads, with waiting watches as one
// each, and writes.
func (p *Platform) Calls() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

func (p *Platform) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		if r.Method == http.MethodPut {
			p.writes++
		} else {
			p.reads++
		}
		if now := time.Now().Unix(); now != p.second {
			p.second, p.inWork = now, 0
		}
		p.inWork++
		limited := f.CallsPerSecond > 0 && p.inWork > f.CallsPerSecond
		p.mu.Unlock()
		if f.Delay > 0 {
			clock.Sleep(r.Context(), f.Delay)
		}
		switch {
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case limited:
			http.Error(w, "rate", http.StatusTooManyRequests)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	if after := r.URL.Query().Get("after"); after != "" {
		p.wait(r, name, after)
	}
	version, value := p.Object(name)
	if version == 0 {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(version, 10))
	// A lost connection is the caller's to notice.
	_, _ = w.Write(value)
}

func (p *Platform) wait(r *http.Request, name, after string) {
	seconds, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	known, _ := strconv.ParseUint(after, 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(seconds)*time.Second)
	defer cancel()
	for {
		p.mu.Lock()
		o := p.objects[name]
		if o == nil {
			o = &object{changed: make(chan struct{})}
			p.objects[name] = o
		}
		changed, version, silent := o.changed, o.version, p.faults.SilentWatch
		p.mu.Unlock()
		if version != known && !silent {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largestValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	name := chi.URLParam(r, "name")
	var old uint64
	if match := r.Header.Get("If-Match"); match != "" {
		if old, err = strconv.ParseUint(strings.Trim(match, `"`), 10, 64); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	p.mu.Lock()
	var version uint64
	if o := p.objects[name]; o != nil {
		version = o.version
	}
	conflict := version != old
	lose := false
	if !conflict {
		version++
		p.store(name, version, value)
		lose = p.faults.LoseAnswers > 0
		if lose {
			p.faults.LoseAnswers--
		}
	}
	p.mu.Unlock()
	switch {
	case conflict:
		http.Error(w, "version differs", http.StatusPreconditionFailed)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", strconv.FormatUint(version, 10))
	}
}

func (p *Platform) store(name string, version uint64, value []byte) {
	if o := p.objects[name]; o != nil {
		close(o.changed)
	}
	p.objects[name] = &object{version, value, make(chan struct{})}
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := &schema.VMList{}
	for name, leaving := range p.vms {
		list.Vms = append(list.Vms, &schema.ListedVM{Vm: name, Leaving: leaving})
	}
	p.mu.Unlock()
	body, err := proto.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}
