package main

import (
	"errors"
	"fmt"
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
	aloneReplicas = 2
	// warmupPerS and warmup are those of the service: the rate that a cold replica
	// tolerates, and how long it is cold.
	warmupPerS = 20
	warmup     = 3 * time.Second
	// The bounds of the rule.
	warmupFactor = 1.5
	warmupSlack  = 5
	// storeDown is how long the store answers 503, vmsDown how long the VMs are killed.
	storeDown  = 6 * time.Second
	vmsDown    = 600 * time.Millisecond
	aloneEvery = 5 * time.Millisecond
	aloneWork  = 5 * time.Millisecond
	// A cold replica crashes at a rate well above warmupPerS.
	crashPerS = 3 * warmupPerS
)

// A coldReplica is one boot of a replica. It is cold for the time warmup.
type coldReplica struct {
	r      *rig
	id     ident.ReplicaID
	addr   string
	zone   ident.ZoneID
	server *http.Server
	began  time.Time
	// cold is how long the replica is cold after began.
	cold time.Duration

	mu       sync.Mutex
	arrivals []time.Time
	crashed  bool
}

// bootCold starts a replica at an address and writes its entry.
func (r *rig) bootCold(id ident.ReplicaID, zone ident.ZoneID, addr string, cold time.Duration) (*coldReplica, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &coldReplica{r: r, id: id, addr: l.Addr().String(), zone: zone, began: time.Now(), cold: cold}
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(l) }()
	spec, err := platform.MarshalReplica(catalogue.Replica{ID: id, Service: fleet.Desk, Zone: zone, Address: c.addr, Slots: deskSlots}, cold)
	if err != nil {
		return nil, err
	}
	r.site.Platform.Set(platform.ReplicaKind, string(id), spec)
	return c, nil
}

func (c *coldReplica) serve(w http.ResponseWriter, request *http.Request) {
	a := platform.ReadAttempt(request)
	if a.ExpectedReplica != "" && a.ExpectedReplica != c.id {
		a.Misdirected(w)
		return
	}
	if !c.arrive(time.Now()) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(aloneWork)
	content := standin.ContentOf(string(fleet.Desk), a.ID)
	a.Answer(w, http.StatusOK, standin.RunDigest(c.id, a.ID, content), content)
}

// arrive counts an arrival. It returns false if the replica is cold and crashes from it, or
// has crashed before.
func (c *coldReplica) arrive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashed {
		return false
	}
	c.arrivals = append(c.arrivals, now)
	if n := len(c.arrivals) - crashPerS; c.cold == 0 || n < 0 || now.Sub(c.arrivals[n]) > time.Second || now.Sub(c.began) > c.cold {
		return true
	}
	c.crashed = true
	c.r.note("cold replica %s crashes: %d requests in one second", c.id, crashPerS)
	go func() { _ = c.server.Close() }()
	return false
}

// most returns the most arrivals in a second that lies within the cold period.
func (c *coldReplica) most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for i, first := range c.arrivals {
		if first.Add(time.Second).After(c.began.Add(c.cold)) {
			break
		}
		n := 0
		for _, at := range c.arrivals[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// alone kills all VMs while the store is down. When the store is back, the replicas of one
// service have restarted too and are cold.
func alone(r *rig) (bool, error) {
	spec := siteSpec()
	spec.DeskReplicas = 0
	if err := r.start(spec); err != nil {
		return false, err
	}
	next := r.site.Configuration
	next.Version += versionsPerChange
	for i := range next.Services {
		if next.Services[i].ID == fleet.Desk {
			next.Services[i].ColdRate = warmupPerS
		}
	}
	if err := r.site.Configure(next); err != nil {
		return false, err
	}
	var replicas []*coldReplica
	for i := range aloneReplicas {
		c, err := r.bootCold(ident.ReplicaID(fmt.Sprintf("i-%d", i)), ident.ZoneID(spec.Zones[i]), "127.0.0.1:0", 0)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, c)
	}
	time.Sleep(stableWindow + time.Second)
	stop, done := make(chan struct{}), make(chan [2]int)
	go func() { done <- r.looks(stop) }()
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("the store answers 503; all VMs are killed")
		r.site.Platform.SetFaults(standin.PlatformFaults{Down: true})
		for i := range r.vms {
			r.killVM(i)
		}
		time.Sleep(vmsDown)
		for i := range r.vms {
			if err := r.startVM(i); err != nil {
				return false, err
			}
		}
		time.Sleep(storeDown - vmsDown)
		r.site.Platform.SetFaults(standin.PlatformFaults{})
		r.note("the store answers again")
	}
	for i, old := range replicas {
		_ = old.server.Close()
		r.site.Platform.Remove(platform.ReplicaKind, string(old.id))
		c, err := r.bootCold(old.id+"-again", old.zone, old.addr, warmup)
		if err != nil {
			return false, err
		}
		r.note("replica %s started, cold for %v", c.id, warmup)
		replicas[i] = c
	}
	time.Sleep(warmup + time.Second)
	close(stop)
	counts := <-done
	r.note("%d requests, %d not served", counts[0], counts[1])
	const allowed = warmupPerS*warmupFactor + warmupSlack
	broken, any := false, 0
	for _, c := range replicas {
		n := c.most()
		any += n
		r.note("cold replica %s: at most %d requests in one second, allowed %v", c.id, n, allowed)
		broken = broken || float64(n) > allowed
	}
	if any == 0 {
		return false, errors.New("no request reached a cold replica")
	}
	return broken, nil
}

// looks sends requests that may be repeated until stop is closed, and returns how many were
// sent and how many of them were not served.
func (r *rig) looks(stop <-chan struct{}) (counts [2]int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(aloneEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			all.Wait()
			return counts
		case <-tick.C:
		}
		all.Add(1)
		go func() {
			defer all.Done()
			status := r.send(n, http.MethodGet, fleet.DeskHost, "/look/usual", fmt.Sprintf("%016x", 0x6c00000000000000+n))
			mu.Lock()
			defer mu.Unlock()
			counts[0]++
			if status != http.StatusOK {
				counts[1]++
			}
		}()
	}
}
