// Package standin implements stand-ins (test doubles) for the external systems:
// the platform's store, upstreams and the replicas of routed services. They serve
// the real protocols and inject faults on request.
package standin

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"carawaycross.example/carawaycross/platform/wire"
	"carawaycross.example/carawaycross/serve/clock"
)

const (
	// maxBodySize is in bytes.
	maxBodySize = 1 << 20
	// pageSize is the number of objects in one page of a listing.
	pageSize     = 500
	maxWatchWait = 30 * time.Second
	// maxHistory is the number of changes that are kept for watches.
	maxHistory = 10_000
)

// storedObject is an object in the store.
type storedObject = wire.Envelope

// A changeEvent is one change of an object.
type changeEvent struct {
	revision uint64
	kind     string
	object   storedObject
	deleted  bool
	at       time.Time
}

// PlatformFaults are the faults of a Platform; the zero value has none.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of writes that take effect and then break the
	// connection instead of sending the response.
	LoseAnswers int
	// SilentWatch withholds changes from watches: they end empty after their wait.
	SilentWatch bool
	// CallsPerSecond refuses calls above this rate; 0 means no limit.
	CallsPerSecond int
}

// A Platform is a stand-in for the platform's store: it lists, watches and writes
// objects over HTTP. See NewPlatform.
type Platform struct {
	mu sync.Mutex
	// revision is that of the last change; kinds holds the objects by kind and
	// name.
	revision uint64
	kinds    map[string]map[string]storedObject
	// history holds the latest changes; those up to revision compactedTo were
	// removed.
	history     []changeEvent
	compactedTo uint64
	// era counts the calls of Restore, and copied holds the objects of the last Copy.
	era    int
	copied storeCopy
	// changed is closed and replaced at each change.
	changed chan struct{}
	faults  PlatformFaults
	// staleness is the age of the changes that a watch which allows stale data misses.
	staleness time.Duration
	// readTenths counts reads in tenths: a read that allows stale data adds one,
	// any other read ten.
	readTenths int
	writes     int
	// currentSecond, in Unix time, and callsThisSecond implement CallsPerSecond.
	currentSecond   int64
	callsThisSecond int

	server *http.Server
	done   chan error
	addr   string
}

// NewPlatform starts a Platform that listens on address, such as 127.0.0.1:0.
func NewPlatform(address string) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		kinds: map[string]map[string]storedObject{}, changed: make(chan struct{}), revision: 1,
		done: make(chan error, 1), addr: listener.Addr().String(),
	}
	r := chi.NewRouter()
	r.Use(p.injectFaults)
	r.Get(wire.ObjectsPath+"{kind}", p.list)
	r.Post(wire.ObjectsPath+"{kind}", p.create)
	r.Get(wire.ObjectsPath+"{kind}/{name}", p.get)
	r.Put(wire.ObjectsPath+"{kind}/{name}", p.put)
	r.Put(wire.ObjectsPath+"{kind}/{name}/status", p.putStatus)
	r.Delete(wire.ObjectsPath+"{kind}/{name}", p.deleteObject)
	p.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func() { p.done <- p.server.Serve(listener) }()
	return p, nil
}

// Address returns the listen address as IP:port.
func (p *Platform) Address() string { return p.addr }

// Close stops the server and waits until it has ended.
func (p *Platform) Close() error {
	err := p.server.Close()
	if serveErr := <-p.done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetStaleness sets the age up to which changes are missing from watches that allow stale
// data.
func (p *Platform) SetStaleness(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleness = age
}

// SetVM adds a VM to the list of VMs, or updates whether it is leaving.
func (p *Platform) SetVM(name string, leaving bool) {
	spec, _ := json.Marshal(map[string]any{"leaving": leaving})
	p.Set(wire.VMKind, name, spec)
}

// Set creates or replaces an object, as the operator or a replica would.
func (p *Platform) Set(kind, name string, spec []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeLocked(kind, name, spec)
}

// Remove deletes an object as the platform would.
func (p *Platform) Remove(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deleteLocked(kind, name)
}

// Compact removes the history, so that watches from earlier revisions fail.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compactedTo, p.history = p.revision, nil
	p.notifyWatchesLocked()
}

// Revert sets the objects with a name to an earlier value, as a store restored
// from an old backup would. The revision still increases.
func (p *Platform) Revert(name string, _ uint64, value []byte) {
	spec, _ := json.Marshal(value)
	p.mu.Lock()
	defer p.mu.Unlock()
	for kind, objects := range p.kinds {
		if _, ok := objects[name]; ok {
			p.storeLocked(kind, name, spec)
		}
	}
}

// Object returns the revision and the decoded value of the object with a name,
// or 0 and nil.
func (p *Platform) Object(name string) (uint64, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, objects := range p.kinds {
		if o, ok := objects[name]; ok {
			var value []byte
			_ = json.Unmarshal(o.Spec, &value)
			return o.Meta.Revision, value
		}
	}
	return 0, nil
}

// Content returns the revision and the content of an object, or 0 and nil.
func (p *Platform) Content(kind, name string) (uint64, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.kinds[kind][name]
	return o.Meta.Revision, o.Spec
}

// Calls returns the cost of all calls: reads, where a watch counts as one and a
// read that allows stale data as a tenth, and writes.
func (p *Platform) Calls() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readTenths / 10, p.writes
}

// injectFaults is a middleware that counts calls and injects Delay, Down and
// CallsPerSecond.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		switch {
		case r.Method != http.MethodGet:
			p.writes++
		case r.URL.Query().Get(wire.ParamStale) != "":
			p.readTenths++
		default:
			p.readTenths += 10
		}
		if now := time.Now().Unix(); now != p.currentSecond {
			p.currentSecond, p.callsThisSecond = now, 0
		}
		p.callsThisSecond++
		limited := f.CallsPerSecond > 0 && p.callsThisSecond > f.CallsPerSecond
		if p.era > 0 {
			w.Header().Set(wire.HeaderEra, strconv.Itoa(p.era))
		}
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

// storeLocked writes an object with the next revision and wakes the watches. The
// lock must be held, as for all methods named Locked.
func (p *Platform) storeLocked(kind, name string, spec json.RawMessage) storedObject {
	if p.kinds[kind] == nil {
		p.kinds[kind] = map[string]storedObject{}
	}
	p.revision++
	o, exists := p.kinds[kind][name]
	if !exists {
		o.Meta.Name, o.Meta.CreatedRevision = name, p.revision
	}
	o.Meta.Revision, o.Spec = p.revision, spec
	p.kinds[kind][name] = o
	p.appendEventLocked(kind, o, false)
	return o
}

func (p *Platform) deleteLocked(kind, name string) {
	o, ok := p.kinds[kind][name]
	if !ok {
		return
	}
	delete(p.kinds[kind], name)
	p.revision++
	p.appendEventLocked(kind, o, true)
}

// appendEventLocked adds a change to the history, removes the oldest ones beyond
// maxHistory and wakes the watches.
func (p *Platform) appendEventLocked(kind string, o storedObject, deleted bool) {
	p.history = append(p.history, changeEvent{p.revision, kind, o, deleted, time.Now()})
	if extra := len(p.history) - maxHistory; extra > 0 {
		p.compactedTo = p.history[extra-1].revision
		p.history = slices.Delete(p.history, 0, extra)
	}
	p.notifyWatchesLocked()
}

func (p *Platform) notifyWatchesLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// list writes a page of the objects of a kind, or serves a watch.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(wire.ParamWatch) {
		p.watch(w, r)
		return
	}
	after := r.URL.Query().Get(wire.ParamAfter)
	p.mu.Lock()
	var names []string
	objects := p.kinds[chi.URLParam(r, "kind")]
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := wire.Page{More: len(names) > pageSize, Revision: p.revision, Items: []json.RawMessage{}}
	for _, name := range names[:min(len(names), pageSize)] {
		page.Items = append(page.Items, encode(objects[name]))
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

// watch writes the changes of a kind after a revision. Without any it waits for
// one, at most the requested time.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	after, _ := strconv.ParseUint(r.URL.Query().Get(wire.ParamWatch), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(wire.ParamWait))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed, silent := p.changed, p.faults.SilentWatch
		var staleness time.Duration
		if r.URL.Query().Get(wire.ParamStale) != "" {
			staleness = p.staleness
		}
		compacted, events, revision := after < p.compactedTo || after > p.revision, p.eventsSinceLocked(kind, after, staleness), p.revision
		if p.era > 0 {
			w.Header().Set(wire.HeaderEra, strconv.Itoa(p.era))
		}
		p.mu.Unlock()
		if compacted {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(events) > 0 && !silent {
			writeJSON(w, http.StatusOK, wire.Changes{Events: events, Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, wire.Changes{Events: []wire.Event{}, Revision: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSinceLocked returns the changes of a kind after a revision that were made at least
// staleness ago.
func (p *Platform) eventsSinceLocked(kind string, after uint64, staleness time.Duration) []wire.Event {
	var events []wire.Event
	for _, h := range p.history {
		if h.kind == kind && h.revision > after && (staleness == 0 || time.Since(h.at) >= staleness) {
			events = append(events, wire.Event{Object: encode(h.object), Deleted: h.deleted})
		}
	}
	return events
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.kinds[chi.URLParam(r, "kind")][chi.URLParam(r, "name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) { p.write(w, r, "") }

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, chi.URLParam(r, "name"))
}

// write creates an object when name is empty and replaces one otherwise. A
// create of an existing name and a replace with an outdated revision conflict.
func (p *Platform) write(w http.ResponseWriter, r *http.Request, name string) {
	var sent storedObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kind, create := chi.URLParam(r, "kind"), name == ""
	if create {
		name = sent.Meta.Name
	}
	p.mu.Lock()
	current, exists := p.kinds[kind][name]
	if !create && !exists {
		p.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	conflict := (create && exists) || (!create && sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision)
	loseResponse := false
	if !conflict {
		current = p.storeLocked(kind, name, sent.Spec)
		loseResponse = p.faults.LoseAnswers > 0
		if loseResponse {
			p.faults.LoseAnswers--
		}
	}
	p.mu.Unlock()
	switch {
	case conflict:
		writeJSON(w, http.StatusConflict, current)
	case loseResponse:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, current)
	}
}

// deleteObject removes an object, at the expected revision if one is given.
func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	expected, _ := strconv.ParseUint(r.URL.Query().Get(wire.ParamRevision), 10, 64)
	p.mu.Lock()
	current := p.kinds[kind][name]
	conflict := expected != 0 && current.Meta.Revision != expected
	if !conflict {
		p.deleteLocked(kind, name)
	}
	p.mu.Unlock()
	if conflict {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func encode(o storedObject) json.RawMessage {
	// All fields of an envelope can be encoded.
	text, _ := json.Marshal(o)
	return text
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only when the connection is lost; the client detects that.
	_, _ = w.Write(text)
}
