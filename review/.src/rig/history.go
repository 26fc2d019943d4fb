package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	// The store refuses refusedVMs, 0.35 of them rounded up, for refuseFor: in each round the
	// next ones.
	refusedVMs   = 2
	refuseFor    = 9 * time.Second
	calmFor      = 3 * time.Second
	historyTimes = 3
	watchFor     = 11 * time.Second
	// configApply is bounds.configApplyMs.
	configApply = 3 * time.Second
	// watchSilence is how long watches hear nothing before the history is dropped.
	watchSilence = time.Second
	probeEvery   = 100 * time.Millisecond
)

// A gate passes the calls of one VM on to the store, or answers 503.
type gate struct {
	refuse atomic.Bool
	server *http.Server
	addr   string
}

func newGate(store string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	// A call that its VM has ended is no error.
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	g := &gate{addr: l.Addr().String()}
	g.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if g.refuse.Load() {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, q)
	})}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

// refusedIn reports whether the store refuses the i-th VM in round n.
func refusedIn(n, i int) bool {
	return (i-n*refusedVMs%siteVMs+siteVMs)%siteVMs < refusedVMs
}

// history lets the store refuse two VMs for a while. Later, when it serves all of them
// again, the operator adds a route, and the store drops its history before the watches have
// heard of it.
func history(r *rig) (bool, error) {
	spec := siteSpec()
	var gates []*gate
	r.prepare = func() error {
		for i := range r.site.Boots {
			g, err := newGate(r.site.Boots[i].Store)
			if err != nil {
				return err
			}
			gates = append(gates, g)
			r.site.Boots[i].Store = g.addr
		}
		return nil
	}
	if err := r.start(spec); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	late := 0
	for n := range historyTimes {
		if r.trouble {
			for i, g := range gates {
				if refusedIn(n, i) {
					g.refuse.Store(true)
					r.note("the store refuses %s for %v", r.site.Boots[i].VM, refuseFor)
				}
			}
		}
		time.Sleep(refuseFor)
		for _, g := range gates {
			g.refuse.Store(false)
		}
		r.note("the store serves all VMs")
		time.Sleep(calmFor)
		n, err := r.addRoute(n)
		if err != nil {
			return false, err
		}
		late += n
	}
	r.note("%d requests at VMs in touch got 404 for the new route, sent later than %v after it was acknowledged and %v after the store dropped its history",
		late, configApply, stableWindow)
	return late > 0, nil
}

// addRoute adds a route and asks each VM for it. It returns how many requests were refused
// with 404 too late, at VMs that the store has not refused in this round.
func (r *rig) addRoute(n int) (late int, err error) {
	next := r.site.Configuration
	next.Version += versionsPerChange
	prefix := fmt.Sprintf("/added-%d/", n)
	next.Routes = append(append([]route.Route(nil), next.Routes...), route.Route{
		Name: ident.RouteID("added-" + fmt.Sprint(n)), Host: fleet.DeskHost, Prefix: prefix, Repeatable: true,
		Timeout: deskTimeout, Goal: deskGoal, Rank: 2, Attempts: 2,
		Targets: []route.Target{{Services: []ident.ServiceID{fleet.Desk}, Weight: 1}},
	})
	if r.trouble {
		r.site.Platform.SetFaults(standin.PlatformFaults{SilentWatch: true})
	}
	if err := r.site.Configure(next); err != nil {
		return 0, err
	}
	acknowledged := time.Now()
	r.note("version %d with the route %s is acknowledged", next.Version, prefix)
	dropped := acknowledged
	if r.trouble {
		time.Sleep(watchSilence)
		r.site.Platform.Compact()
		r.site.Platform.SetFaults(standin.PlatformFaults{})
		dropped = time.Now()
		r.note("the store has dropped its history")
	}
	known := make([]bool, len(r.vms))
	for k := 0; time.Since(acknowledged) < watchFor; k++ {
		for i := range r.vms {
			sent := time.Now()
			status := r.send(i, http.MethodGet, fleet.DeskHost, prefix+"x", fmt.Sprintf("%016x", 0x4b00000000000000+n*1_000_000+k*100+i))
			if status == http.StatusOK && !known[i] {
				known[i] = true
				r.note("%s serves the new route %v after the acknowledgement", r.site.Boots[i].VM, sent.Sub(acknowledged).Round(time.Millisecond))
			}
			if status == http.StatusNotFound && !refusedIn(n, i) && sent.Sub(acknowledged) > configApply && sent.Sub(dropped) > stableWindow {
				late++
				r.note("%s answers 404, sent %v after the acknowledgement", r.site.Boots[i].VM, sent.Sub(acknowledged).Round(time.Millisecond))
			}
		}
		time.Sleep(probeEvery)
	}
	return late, nil
}
