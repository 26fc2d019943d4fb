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

	"carawaycross.example/carawaycross/core/merge"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	recordSize = 16
	// thinkTime is the mean pause of a client between two requests.
	thinkTime = 15 * time.Millisecond
)

// A call is one request of a client and how it ended.
type call struct {
	id, kind, vm string
	once         bool
	sent, ended  time.Time
	// Status is 0 when the connection ended without an answer.
	status int
	err    error
}

// A ledger holds what clients saw.
type ledger struct {
	mu    sync.Mutex
	calls []call
	// Faults are broken promises.
	faults []string
	next   int
}

func (l *ledger) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("%016x", l.next)
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledger) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// counts returns the calls since a moment, and how many got a success.
func (l *ledger) counts(since time.Time) (asked, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.calls {
		if l.calls[i].sent.After(since) {
			asked++
			if l.calls[i].status == http.StatusOK {
				served++
			}
		}
	}
	return asked, served
}

type kind struct {
	name, method, host, path string
	top                      int
	once                     bool
	within                   time.Duration
}

var kinds = []kind{
	{"urgent", "GET", fleet.SearchHost, "/urgent/x", 5, false, 600 * time.Millisecond},
	{"sweep", "GET", fleet.SearchHost, "/sweep/x?q=1", 50, false, 1500 * time.Millisecond},
	{"look", "GET", fleet.DeskHost, "/look/x", 0, false, 2 * time.Second},
	{"order", "POST", fleet.DeskHost, "/order/x", 0, true, 2 * time.Second},
}

// client asks one VM over its own connections until the context is done. It
// keeps using an open connection until the VM closes it.
func client(ctx context.Context, l *ledger, vm, front string, shards int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		k := kinds[random.IntN(len(kinds))]
		c := call{id: l.id(), kind: k.name, vm: vm, once: k.once, sent: time.Now()}
		c.status, c.err = ask(transport, l, front, shards, &k, &c)
		c.ended = time.Now()
		l.add(c)
		pause := time.Duration(random.ExpFloat64() * float64(thinkTime))
		if c.status != http.StatusOK {
			pause += 5 * thinkTime
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func ask(t *http.Transport, l *ledger, front string, shards int, k *kind, c *call) (int, error) {
	r, err := platform.NewRequest(k.method, front, k.host, k.path, c.id, k.within)
	if err != nil {
		return 0, err
	}
	if k.once {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(c.id)), int64(len(c.id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.within+time.Second)
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
		if fault := check(response.Header, body, shards, k, c.id); fault != nil {
			l.fault("%s %s through %s: %v", c.kind, c.id, c.vm, fault)
		}
	}
	return response.StatusCode, nil
}

// check compares a success with what the replicas answer to that request.
func check(h http.Header, body []byte, shards int, k *kind, id string) error {
	if k.top == 0 {
		if !strings.Contains(platform.ReplyDigest(h), "."+id+".") {
			return errors.New("the digest is not of this request")
		}
		if !bytes.Equal(body, standin.ContentOf(string(fleet.Desk), id)) {
			return errors.New("the body is not the replica's")
		}
		return nil
	}
	g := platform.ReadGathered(h)
	if len(g.Digests)+g.Missing != shards {
		return fmt.Errorf("%d parts and %d missing of %d", len(g.Digests), g.Missing, shards)
	}
	if 4*len(g.Digests) < 3*shards {
		return fmt.Errorf("%d parts of %d are too few", len(g.Digests), shards)
	}
	var bodies [][]byte
	seen := map[string]bool{}
	for _, d := range g.Digests {
		fields := strings.Split(d, ".")
		if len(fields) != 4 || fields[2] != id || seen[fields[0]] {
			return fmt.Errorf("digest %q is of no part of this request", d)
		}
		seen[fields[0]] = true
		bodies = append(bodies, standin.ContentOf(fields[0], id))
	}
	if !bytes.Equal(body, merge.Top(bodies, recordSize, k.top)) {
		return errors.New("the body is not the greatest records of its parts")
	}
	return nil
}
