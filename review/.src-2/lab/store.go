package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the users' pages state them.
const (
	objectsPath  = "/api/objects/"
	valueBytes   = 1 << 20
	pageItems    = 500
	pageBytes    = 1 << 20
	maxWatchWait = 30 * time.Second
	historySpan  = 20 * time.Second
	answerTime   = 4 * time.Millisecond
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	revision uint64
	kind     string
	at       time.Time
	body     json.RawMessage
}

// A store is a stand-in for the platform's metadata store. It keeps historySpan of history.
type store struct {
	mu        sync.Mutex
	revision  uint64
	kinds     map[string]map[string]object
	events    []storeEvent
	compacted uint64
	changed   chan struct{}
	address   string
}

func startStore() *store {
	s := &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// set writes an object and returns after the store has acknowledged it.
func (s *store) set(kind, name string, spec json.RawMessage) time.Time {
	if len(spec) > valueBytes {
		cannotRun("%s/%s has %d bytes", kind, name, len(spec))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, spec)
	return time.Now()
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o, ok := s.kinds[kind][name]
	if ok && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !ok {
		o = object{Meta: meta{Name: name, CreatedRev: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Meta.Revision, o.Spec = s.revision, spec
	s.kinds[kind][name] = o
	s.recordLocked(kind, o, false)
	return o
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.recordLocked(kind, o, true)
}

func (s *store) recordLocked(kind string, o object, deleted bool) {
	body, _ := json.Marshal(struct {
		Object  object `json:"object"`
		Deleted bool   `json:"deleted"`
	}{o, deleted})
	now := time.Now()
	s.events = append(s.events, storeEvent{s.revision, kind, now, body})
	for len(s.events) > 0 && now.Sub(s.events[0].at) > historySpan {
		s.compacted = s.events[0].revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	path := strings.TrimPrefix(r.URL.Path, objectsPath)
	kind, name, named := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	case status:
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := []string{}
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size := []object{}, 0
	for _, name := range names {
		o := s.kinds[kind][name]
		if len(items) > 0 && (len(items) == pageItems || size+len(o.Spec) > pageBytes) {
			break
		}
		items, size = append(items, o), size+len(o.Spec)
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(names), "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		changed, revision, gone := s.changed, s.revision, after < s.compacted
		events := []json.RawMessage{}
		for _, e := range s.events {
			if e.revision > after && e.kind == kind {
				gone = gone || time.Since(e.at) > historySpan
				events = append(events, e.body)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			writeJSON(w, http.StatusGone, struct{}{})
			return
		case len(events) > 0 || ended:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(text, &sent)
	}
	if err != nil || len(sent.Spec) > valueBytes {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = sent.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[kind][name]
	switch {
	case !create && !exists:
		writeJSON(w, http.StatusNotFound, struct{}{})
	case create && exists, !create && sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision:
		writeJSON(w, http.StatusConflict, current)
	default:
		writeJSON(w, http.StatusOK, s.putLocked(kind, name, sent.Spec))
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[kind][name]
	switch {
	case !exists:
		writeJSON(w, http.StatusNotFound, struct{}{})
	case revision != 0 && revision != current.Meta.Revision:
		writeJSON(w, http.StatusConflict, current)
	default:
		s.removeLocked(kind, name)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
