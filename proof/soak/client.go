package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/merge"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	recordSize = 16
	// thinkTime is the mean pause of a client between two requests. With calmThinkTime
	// there are so few requests that the fixed part of the limits on repeats counts most.
	thinkTime     = 15 * time.Millisecond
	calmThinkTime = 300 * time.Millisecond
)

// A call is one request of a client and its outcome.
type call struct {
	id, kind    string
	vm          ident.VMID
	host, path  string
	atMostOnce  bool
	sent, ended time.Time
	// status is 0 if the connection ended without an answer.
	status int
	err    error
}

// A callLog holds the calls of all clients and the broken promises.
type callLog struct {
	mu    sync.Mutex
	calls []call
	// probes are the requests that ask for routes of a version; they are not counted as
	// requests of clients.
	probes []call
	// brokenPromises describes each violation that a check found.
	brokenPromises []string
	lastID         int
}

func (l *callLog) nextID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%016x", l.lastID)
}

func (l *callLog) reportBroken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokenPromises = append(l.brokenPromises, fmt.Sprintf(format, args...))
}

func (l *callLog) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *callLog) addProbe(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probes = append(l.probes, c)
}

// counts returns the number of calls sent after since, and how many of them
// succeeded.
func (l *callLog) counts(since time.Time) (requests, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.calls {
		if l.calls[i].sent.After(since) {
			requests++
			if l.calls[i].status == http.StatusOK {
				served++
			}
		}
	}
	return requests, served
}

// A requestKind is a kind of request that clients send.
type requestKind struct {
	name, method, host, path string
	// top is the limit of records of a search; 0 for a request to one replica.
	top int
	// atMostOnce is true if replicas must not run a request twice.
	atMostOnce bool
	timeout    time.Duration
}

var requestKinds = []requestKind{
	{"urgent", "GET", fleet.SearchHost, "/urgent/x", 5, false, 600 * time.Millisecond},
	{"sweep", "GET", fleet.SearchHost, "/sweep/x?q=1", 50, false, 1500 * time.Millisecond},
	{"look", "GET", fleet.DeskHost, "/look/x", 0, false, 2 * time.Second},
	{"order", "POST", fleet.DeskHost, "/order/x", 0, true, 2 * time.Second},
}

// runClient sends requests to one VM over its own connections until the context is
// done. It reuses an open connection until the VM closes it.
func runClient(ctx context.Context, l *callLog, vm ident.VMID, address string, shards int, seed uint64, think time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		k := requestKinds[random.IntN(len(requestKinds))]
		c := call{
			id: l.nextID(), kind: k.name, vm: vm, host: k.host, path: k.path, atMostOnce: k.atMostOnce, sent: time.Now(),
		}
		c.status, c.err = send(transport, l, address, shards, &k, &c)
		c.ended = time.Now()
		l.add(c)
		pause := time.Duration(random.ExpFloat64() * float64(think))
		if c.status != http.StatusOK {
			pause += 5 * thinkTime
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func send(t *http.Transport, l *callLog, address string, shards int, k *requestKind, c *call) (int, error) {
	r, err := platform.NewRequest(k.method, address, k.host, k.path, c.id, k.timeout)
	if err != nil {
		return 0, err
	}
	if k.atMostOnce {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(c.id)), int64(len(c.id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.timeout+time.Second)
	defer cancel()
	response, err := t.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode == http.StatusOK {
		if mismatch := checkResponse(response.Header, body, shards, k, c.id); mismatch != nil {
			l.reportBroken("%s %s through %s: %v", c.kind, c.id, c.vm, mismatch)
		}
	}
	return response.StatusCode, nil
}

// checkResponse compares a successful response with the replicas' content for that
// request.
func checkResponse(h http.Header, body []byte, shards int, k *requestKind, id string) error {
	if k.top == 0 {
		if !strings.Contains(platform.ReplyDigest(h), "."+id+".") {
			return errors.New("the digest is not of this request")
		}
		service := fleet.Desk
		if strings.HasPrefix(platform.ReplyDigest(h), string(fleet.OtherDesk)+".") {
			service = fleet.OtherDesk
		}
		if !bytes.Equal(body, standin.ContentOf(string(service), id)) {
			return errors.New("the body is not the replica's")
		}
		return nil
	}
	gathered := platform.ReadGathered(h)
	if len(gathered.Digests)+gathered.Missing != shards {
		return fmt.Errorf("%d parts and %d missing of %d", len(gathered.Digests), gathered.Missing, shards)
	}
	if 4*len(gathered.Digests) < 3*shards {
		return fmt.Errorf("%d parts of %d are too few", len(gathered.Digests), shards)
	}
	var bodies [][]byte
	seen := map[string]bool{}
	for _, digest := range gathered.Digests {
		fields := strings.Split(digest, ".")
		if len(fields) != 4 || fields[2] != id || seen[fields[0]] {
			return fmt.Errorf("digest %q is of no part of this request", digest)
		}
		seen[fields[0]] = true
		bodies = append(bodies, standin.ContentOf(fields[0], id))
	}
	if !bytes.Equal(body, merge.Top(bodies, recordSize, k.top)) {
		return errors.New("the body is not the greatest records of its parts")
	}
	return nil
}
