package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// A run is one request that reached a replica.
type run struct {
	id, service, replica string
	at                   time.Time
	ran                  bool
	status               int
}

// A replica is a stand-in for one replica of a service. It registers in the store, writes
// there every heartbeat, checks the instance that a request expects, and echoes its id.
type replica struct {
	lab     *lab
	service string
	address string
	slots   int
	work    time.Duration
	// enterAfter is the time from the start of the replica to its first write.
	enterAfter time.Duration
	// before is called for each request; it returns true if it has answered or ended it.
	before func(r *replica, w http.ResponseWriter, id string, q *http.Request) bool

	mu   sync.Mutex
	id   string
	born int64
	// cutOff is true while the replica does not reach the store.
	cutOff bool
	server *http.Server
	cancel context.CancelFunc
}

func (r *replica) start(id string) {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("replica %s: %v", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	slots := make(chan struct{}, r.slots)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, id, slots) })}
	r.mu.Lock()
	r.address, r.id, r.born, r.server, r.cancel = l.Addr().String(), id, time.Now().UnixMilli(), server, cancel
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go func() {
		if !sleep(ctx, r.enterAfter) {
			return
		}
		for r.beat(ctx); sleep(ctx, heartbeat); {
			r.beat(ctx)
		}
	}()
}

func (r *replica) beat(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil || r.cutOff {
		return
	}
	// The entry changes only when more than its sequence does.
	spec, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "maxConcurrency": r.slots,
		"state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": r.born,
	})
	r.lab.store.set("servers", r.id, spec)
}

// crash ends the replica as a killed process would: its connections are reset and its
// entry stays until it is silent for too long.
func (r *replica) crash() bool {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return false
	}
	r.cancel()
	_ = server.Close()
	return true
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request, id string, slots chan struct{}) {
	request := q.Header.Get("Carawaycross-Request-Id")
	arrived := run{id: request, service: r.service, replica: id, at: time.Now()}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if expected := q.Header.Get("Carawaycross-Expect-Instance"); expected != "" && expected != id {
		arrived.status = http.StatusMisdirectedRequest
		r.lab.arrived(arrived)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.before != nil && r.before(r, w, request, q) {
		return
	}
	left := 30 * time.Second
	if ms, err := strconv.ParseFloat(q.Header.Get("Carawaycross-Deadline-Ms"), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(q.Context(), left)
	defer cancel()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	arrived.ran, arrived.status = true, http.StatusOK
	r.lab.arrived(arrived)
	if !sleep(ctx, r.work) {
		return
	}
	body := fmt.Sprintf("%s %s %s\n", r.service, id, request)
	w.Header().Set("Carawaycross-Request-Id", request)
	w.Header().Set("Carawaycross-Server-Stamp", fmt.Sprintf("%s.%s", id, request))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
