// Package vm assembles one entry VM: the control loop, the traffic loop, the watcher
// of the platform's store, the transport to other VMs and the HTTP servers.
package vm

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/internal/body"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/claim"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/door"
	"carawaycross.example/carawaycross/serve/gate"
	"carawaycross.example/carawaycross/serve/gauge"
	"carawaycross.example/carawaycross/serve/operator"
	"carawaycross.example/carawaycross/serve/peer"
	"carawaycross.example/carawaycross/serve/settings"
	"carawaycross.example/carawaycross/serve/task"
	"carawaycross.example/carawaycross/serve/traffic"
	"carawaycross.example/carawaycross/serve/upstream"
	"carawaycross.example/carawaycross/serve/watch"
)

const (
	maxTasks          = 32
	drainPollInterval = 10 * time.Millisecond
	// answerMargin is the time before the end of a graceful stop at which the requests
	// that still wait are answered with what is known. At most answerMarginFraction of
	// the time for the stop is used.
	answerMargin         = 400 * time.Millisecond
	answerMarginFraction = 0.25
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	CannotStart Kind = "cannot-start"
	CannotStop  Kind = "cannot-stop"
)

// An Error reports that a VM could not start or stop.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("vm: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options hold the dependencies of a VM that may be replaced.
type Options struct {
	// Store replaces the client of the platform's store.
	Store platform.Store
	// Policies replace the traffic policies; nil fields select the defaults.
	Policies node.Policies
	// Discovery is set if routes and replicas come from the platform's store.
	Discovery *Discovery
	Log       zerolog.Logger
}

// A VM is one running entry VM.
type VM struct {
	settings         *settings.Settings
	log              zerolog.Logger
	clock            clock.Clock
	views            *view.Publisher
	control          *controlLoop
	traffic          *traffic.Loop
	upstream         UpstreamClient
	claimer          claimer
	peers            *peer.Transport
	watcher          *watch.Watcher
	store            platform.Store
	gauges           *gauge.Set
	apiServer        *door.Server
	servers          []*http.Server
	gates            *gates
	callerListener   net.Listener
	operatorListener net.Listener
	group            *task.Group
	cancel           context.CancelFunc
	// discovery and mirrors are nil if the settings hold the catalogue.
	discovery *Discovery
	mirrors   *mirrors
	// stopTimes are those of the newest settings.
	stopTimes atomic.Pointer[stopTimes]
	// entryVersion is the version of this VM's entry in the list of VMs; 0 if none.
	entryVersion atomic.Uint64
	// wasListed reports whether an earlier process of this VM left its entry.
	wasListed atomic.Bool
	// entryLost receives a value when the list of VMs may lack this VM.
	entryLost chan struct{}
	// listOutdated receives a value when the list of VMs should be read again.
	listOutdated chan struct{}
	// handling counts the HTTP requests that are being handled.
	handling atomic.Int64
	// cutOff is true while this VM's zone is cut off and callers are directed to VMs of
	// other zones.
	cutOff atomic.Bool
	// cutOffNotices receives a value when another VM of the zone is cut off.
	cutOffNotices chan struct{}
	// rolloutWrites holds the latest stages to write to the store.
	rolloutWrites chan []rollout.Write
	// rolloutStatuses is the latest state of the orders, for metrics.
	rolloutStatuses atomic.Pointer[[]rollout.Status]
	// completeAnswers counts the complete answers within their goal. It is only accessed
	// by the goroutine of the traffic loop.
	completeAnswers int
}

// Start starts a VM, which serves requests until Stop or Close.
func Start(s *settings.Settings, o Options) (*VM, error) {
	initial, err := s.InitialConfiguration()
	if err != nil {
		return nil, &Error{"settings", CannotStart, err}
	}
	v := &VM{
		settings: s, log: o.Log, clock: clock.New(), views: &view.Publisher{}, upstream: &upstream.Client{},
		gauges: &gauge.Set{}, store: o.Store, group: task.NewGroup(maxTasks), discovery: o.Discovery, cutOffNotices: make(chan struct{}, 1), entryLost: make(chan struct{}, 1), listOutdated: make(chan struct{}, 1),
		rolloutWrites: make(chan []rollout.Write, 1),
	}
	v.stopTimes.Store(stopTimesOf(s))
	v.gates = newGates(v)
	if m := v.replyMemory(); m != nil {
		m.OnShort(v.gates.front.GiveUpAnswers)
	}
	if o.Discovery != nil {
		v.upstream = o.Discovery.UpstreamClient
	}
	if v.store == nil {
		m := s.Message.Platform
		v.store = &platform.Client{
			Address: m.Address, Timeout: m.Timeout.AsDuration(), Rate: ident.Rate(m.CallsPerSecond),
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	now := v.clock.Now()
	incarnation := ident.Incarnation(now)
	self := s.Self(incarnation)
	if err := v.listen(); err != nil {
		cancel()
		return nil, err
	}
	core := control.New(now, v.controlConfig(self, initial))
	v.control = newControlLoop(core, v.clock, v.views, noPeers{}, o.Log)
	v.claimer = noClaims{}
	if o.Discovery == nil {
		v.claimer = claim.Start(ctx, claim.Config{
			Store: v.store, Deployment: v.deployment(), VM: self.VM, Incarnation: incarnation, Clock: v.clock,
		})
	}
	v.newTraffic(self.VM, incarnation, o.Policies)
	if err := v.startPeers(&self); err != nil {
		cancel()
		return nil, errors.Join(err, v.claimer.Close(), v.closeListeners())
	}
	v.traffic.Start(ctx)
	v.startControl(ctx, initial)
	v.startServers(ctx)
	if o.Discovery != nil {
		if err := v.startDiscovery(ctx, self); err != nil {
			return nil, errors.Join(err, v.Close())
		}
	}
	o.Log.Info().Str("vm", string(self.VM)).Str("zone", string(self.Zone)).
		Str("listen", v.Address()).Msg("vm-started")
	return v, nil
}

// controlConfig returns the configuration of the control core.
func (v *VM) controlConfig(self roster.Member, initial config.Configuration) control.Config {
	c := control.Config{
		Self: self, Seeds: v.settings.Seeds(), Services: v.settings.Services(), Fleet: v.settings.Fleet(),
		Random: newRandom(),
	}
	if v.discovery != nil {
		c.Discovers, c.Peerless, c.First, c.QuotaLimits = true, true, initial, v.settings.QuotaLimits()
		if v.discovery.Rollouts.Orders != nil {
			c.Rollouts = v.settings.RolloutBounds()
		}
	}
	return c
}

func (v *VM) deployment() platform.Deployment {
	return platform.Deployment(v.settings.Message.Deployment)
}

func (v *VM) listen() error {
	m := v.settings.Message.Vm
	var err error
	if v.callerListener, err = gate.Listen(context.Background(), m.Listen); err != nil {
		return &Error{"listen", CannotStart, err}
	}
	if m.Operators == "" {
		return nil
	}
	if v.operatorListener, err = gate.Listen(context.Background(), m.Operators); err != nil {
		return errors.Join(&Error{"listen", CannotStart, err}, v.callerListener.Close())
	}
	return nil
}

func (v *VM) closeListeners() error {
	err := v.callerListener.Close()
	if v.operatorListener != nil {
		err = errors.Join(err, v.operatorListener.Close())
	}
	return err
}

func (v *VM) newTraffic(vm ident.VMID, incarnation ident.Incarnation, p node.Policies) {
	v.traffic = traffic.New(traffic.Config{
		Core:  node.New(node.Config{VM: vm, Incarnation: incarnation, Started: v.clock.Now(), Random: newRandom(), Policies: p, UsageBounds: v.settings.UsageBounds(), FirstStart: v.discovery != nil && v.discovery.FirstStart}),
		Clock: v.clock, Views: v.views, Upstream: v.upstream, Claimer: v.claimer, Forwarder: forwarder{v}, Usage: usageSharer{v},
		News: v.control.news, Observe: v.observe, Memory: v.replyMemory(),
	})
}

// replyMemory returns the budget for the bodies of replies; nil if there is none.
func (v *VM) replyMemory() *body.Budget {
	if v.discovery == nil {
		return nil
	}
	return v.discovery.ReplyMemory
}

func (v *VM) startControl(ctx context.Context, initial config.Configuration) {
	v.watcher = &watch.Watcher{
		Store: v.store, Deployment: v.deployment(), Listener: watchListener{ctx, v.control, v.updateMirrors},
		InitialConfiguration: initial, Enabled: v.control.shouldWatch, Refresh: v.listOutdated,
	}
	if v.discovery != nil {
		v.watcher.MaxListInterval, v.watcher.WasListed = vmListInterval, v.wasListed.Load
	}
	v.group.Go(ctx, v.control.run)
	if v.discovery == nil {
		v.group.Go(ctx, v.watcher.Run)
	}
	v.group.Go(ctx, v.repairStore)
}

// repairStore writes the configuration in force to the store whenever the store
// holds an older one.
func (v *VM) repairStore(ctx context.Context) {
	for {
		select {
		case c := <-v.control.repairs:
			if err := v.watcher.Repair(ctx, c); err != nil && !gaveUp(ctx, err) {
				v.log.Warn().Err(err).Msg("platform-repair-failed")
			}
		case <-ctx.Done():
			return
		}
	}
}

func (v *VM) startServers(ctx context.Context) {
	v.apiServer = &door.Server{
		VM: ident.VMID(v.settings.Message.Vm.Name), Traffic: v.traffic, Views: v.views, Gauges: v.gauges,
		Status: v.Status, Log: v.log,
		Updater: &operator.Updater{
			Store: v.store, Deployment: v.deployment(), Fleet: v.settings.Fleet(),
			ConfigurationInForce: func(ctx context.Context) config.Configuration { return v.control.status(ctx).Configuration },
		},
		OnChange: func(ctx context.Context, c config.Configuration) {
			v.control.post(ctx, event{kind: configurationChanged, configuration: c})
		},
	}
	v.publishVars()
	callers := v.apiServer.CallerHandler()
	if v.operatorListener == nil {
		callers = v.apiServer.CombinedHandler()
	} else {
		v.serve(ctx, v.gates.operators, v.operatorListener, v.apiServer.OperatorHandler())
	}
	v.serve(ctx, v.gates.callers, v.callerListener, callers)
}

func (v *VM) serve(ctx context.Context, g *gate.Gate, l net.Listener, h http.Handler) {
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.handling.Add(1)
		defer v.handling.Add(-1)
		h.ServeHTTP(w, r)
	})
	server := g.Server(counted)
	v.servers = append(v.servers, server)
	v.group.Go(ctx, func(context.Context) {
		if err := server.Serve(g.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			v.log.Error().Err(err).Msg("door-closed")
		}
	})
}

// Address returns the address of the server for callers as IP:port.
func (v *VM) Address() string { return v.callerListener.Addr().String() }

// OperatorAddress returns the address of the server for operators as IP:port.
func (v *VM) OperatorAddress() string {
	if v.operatorListener == nil {
		return v.Address()
	}
	return v.operatorListener.Addr().String()
}

// Stop shuts the VM down gracefully: the VM reports that it is not ready, answers the
// requests it has accepted, for at most the stop-within of the settings, and closes.
func (v *VM) Stop(ctx context.Context) error {
	times := v.stopTimes.Load()
	within := times.within
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	v.log.Info().Int("queries", v.traffic.InFlight()).Msg("vm-stopping")
	v.apiServer.Leave()
	v.control.post(ctx, event{kind: stopping})
	v.withdrawEntry(ctx)
	margin := min(answerMargin, time.Duration(answerMarginFraction*float64(within)))
	v.traffic.Leave(v.clock.Now().Add(within - margin))
	lastAnswers := time.AfterFunc(within-margin, v.traffic.Stop)
	defer lastAnswers.Stop()
	clock.Sleep(ctx, times.leaveNotice)
	var err error
	for _, s := range v.servers {
		err = errors.Join(err, v.shutDown(ctx, s))
	}
	for v.traffic.InFlight() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollInterval)
	}
	return errors.Join(err, v.Close())
}

// shutDown shuts a server down gracefully. Shutdown polls the connections only every
// half second, so its deadline may pass although every request has been answered.
func (v *VM) shutDown(ctx context.Context, s *http.Server) error {
	if err := s.Shutdown(ctx); err != nil && v.handling.Load() > 0 {
		return err
	}
	return nil
}

// Close shuts the VM down immediately and waits for all its goroutines.
func (v *VM) Close() error {
	var err error
	for _, s := range v.servers {
		err = errors.Join(err, s.Close())
	}
	v.cancel()
	<-v.traffic.Done()
	err = errors.Join(err, v.claimer.Close(), v.upstream.Close())
	if v.peers != nil {
		err = errors.Join(err, v.peers.Close())
	}
	v.group.Wait()
	v.log.Info().Msg("vm-stopped")
	if err != nil {
		return &Error{"close", CannotStop, err}
	}
	return nil
}

// Ready reports whether the VM can serve requests, is not taken out and is not
// stopping. It does not consider whether the zone is cut off.
func (v *VM) Ready() bool { return v.apiServer.Ready() }

// Inspect returns the state of the traffic core.
func (v *VM) Inspect(ctx context.Context) node.Report {
	report, _ := v.traffic.Inspect(ctx)
	return report
}

// InFlight returns the number of admitted queries that are not answered.
func (v *VM) InFlight() int { return v.traffic.InFlight() }
