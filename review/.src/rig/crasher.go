package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	crasherPath = "/look/crasher"
	// crasherEvery is the time between two consumer attempts of the request that crashes.
	crasherEvery = 2 * time.Second
	crasherFor   = 40 * time.Second
	// downFor is how long a crashed replica is away; its entry expires after three
	// heartbeats of 1.2 s.
	downFor      = 3 * time.Second
	entryExpires = 3600 * time.Millisecond
	// stableWindow is bounds.stableWindowMs.
	stableWindow  = 4 * time.Second
	usualTime     = 160 * time.Millisecond
	usualEvery    = 25 * time.Millisecond
	maxRetries    = 3
	crashesToTell = 3
)

// A crashSite counts what reaches the replicas of one service that a request crashes.
type crashSite struct {
	r *rig

	mu      sync.Mutex
	crashes int
	// third is when the request had crashed its third replica.
	third time.Time
	// seen counts the arrivals of each consumer attempt of the request.
	seen map[string]int
	// lateRetries are arrivals beyond the first of their consumer attempt, later than
	// stableWindow after third.
	retries, lateRetries int
	boots                int
}

// A crashReplica is one boot of a replica at an address.
type crashReplica struct {
	site   *crashSite
	id     ident.ReplicaID
	zone   ident.ZoneID
	addr   string
	server *http.Server
}

// boot starts a replica and writes its entry.
func (s *crashSite) boot(zone ident.ZoneID, addr string) error {
	var l net.Listener
	var err error
	for range 20 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.boots++
	c := &crashReplica{site: s, id: ident.ReplicaID(fmt.Sprintf("i-%04d", s.boots)), zone: zone, addr: l.Addr().String()}
	s.mu.Unlock()
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(l) }()
	spec, err := platform.MarshalReplica(catalogue.Replica{ID: c.id, Service: fleet.Desk, Zone: zone, Address: c.addr, Slots: deskSlots}, 0)
	if err != nil {
		return err
	}
	s.r.site.Platform.Set(platform.ReplicaKind, string(c.id), spec)
	return nil
}

// serve answers a request, or crashes the replica.
func (c *crashReplica) serve(w http.ResponseWriter, request *http.Request) {
	a := platform.ReadAttempt(request)
	if a.ExpectedReplica != "" && a.ExpectedReplica != c.id {
		a.Misdirected(w)
		return
	}
	if request.URL.Path == crasherPath {
		c.site.arrived(a.ID, c.id)
		if c.site.r.trouble {
			c.crash()
			panic(http.ErrAbortHandler)
		}
	}
	if request.URL.Path != crasherPath {
		time.Sleep(usualTime)
	}
	content := standin.ContentOf(string(fleet.Desk), a.ID)
	a.Answer(w, http.StatusOK, standin.RunDigest(c.id, a.ID, content), content)
}

// arrived counts an arrival of the request that crashes.
func (s *crashSite) arrived(id string, replica ident.ReplicaID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id]++
	again := s.seen[id] > 1
	late := again && !s.third.IsZero() && time.Since(s.third) > stableWindow
	if again {
		s.retries++
	}
	if late {
		s.lateRetries++
	}
	s.r.note("replica %s begins to run %s, arrival %d of this attempt, late retry: %v", replica, id, s.seen[id], late)
}

// crash ends the replica at once and starts it again later, with a new ID.
func (c *crashReplica) crash() {
	s := c.site
	s.mu.Lock()
	s.crashes++
	if s.crashes == crashesToTell {
		s.third = time.Now()
	}
	s.r.note("replica %s crashes, the %d. crash", c.id, s.crashes)
	s.mu.Unlock()
	go func() {
		_ = c.server.Close()
		time.Sleep(downFor)
		if err := s.boot(c.zone, c.addr); err != nil {
			s.r.note("replica %s does not return: %v", c.id, err)
		}
		time.Sleep(entryExpires - downFor)
		s.r.site.Platform.Remove(platform.ReplicaKind, string(c.id))
	}()
}

// crasher sends a request that crashes each replica that begins to run it, again and again,
// beside usual requests.
func crasher(r *rig) (bool, error) {
	spec := siteSpec()
	spec.DeskReplicas = 0
	if err := r.start(spec); err != nil {
		return false, err
	}
	s := &crashSite{r: r, seen: map[string]int{}}
	for i := range deskReplicas {
		if err := s.boot(ident.ZoneID(spec.Zones[i%len(spec.Zones)]), "127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	// The VMs are in touch before the request comes first.
	time.Sleep(stableWindow + time.Second)
	stop, done := make(chan struct{}), make(chan [2]int)
	go func() { done <- r.orders(stop) }()
	until := time.Now().Add(crasherFor)
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%016x", 0x3a00000000000000+n)
		status := r.send(n, http.MethodGet, fleet.DeskHost, crasherPath, id)
		r.note("attempt %s of the request that crashes: answered %d by %s", id, status, r.site.Boots[n%len(r.vms)].VM)
		time.Sleep(crasherEvery)
	}
	close(stop)
	usual := <-done
	s.mu.Lock()
	defer s.mu.Unlock()
	r.note("%d usual orders, %d without a success", usual[0], usual[1])
	r.note("%d crashes, %d retries of the request that crashes, %d of them later than %v after the third crash; allowed %d",
		s.crashes, s.retries, s.lateRetries, stableWindow, maxRetries)
	return s.lateRetries > maxRetries, nil
}

// orders sends usual orders, which may run once only, until stop is closed, and returns how
// many were sent and how many of them got no success.
func (r *rig) orders(stop <-chan struct{}) (counts [2]int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			all.Wait()
			return counts
		case <-time.After(usualEvery):
		}
		all.Add(1)
		go func() {
			defer all.Done()
			id := fmt.Sprintf("%016x", 0x5b00000000000000+n)
			status := r.send(n, http.MethodPost, fleet.DeskHost, "/order/usual", id)
			mu.Lock()
			defer mu.Unlock()
			counts[0]++
			if status != http.StatusOK {
				counts[1]++
				r.note("usual order %s: answered %d", id, status)
			}
		}()
	}
}

// send sends one request to a VM on a new connection and returns the status of its answer, or
// 0 without one.
func (r *rig) send(n int, method, host, path, id string) int {
	request, err := platform.NewRequest(method, r.front(n%len(r.vms)), host, path, id, 3*time.Second)
	if err != nil {
		return 0
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
