package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/standin"
)

// A SiteSpec describes a deployment of stand-ins whose routes and replicas are
// in the platform's store.
type SiteSpec struct {
	Zones []string
	VMs   int
	// Shards is the number of services that a search queries; each has Replicas
	// replicas, spread over the zones round robin.
	Shards, Replicas, Slots, Connections int
	// DeskReplicas is the number of replicas of the service that is not sharded.
	DeskReplicas int
	// OtherDeskReplicas is the number of replicas of a second such service, to which no
	// route of the first configuration leads; 0 if the deployment has none.
	OtherDeskReplicas int
	// Work is the mean time of one request on a replica.
	Work time.Duration
	Seed uint64
	// Apply is the time within which a change of the configuration must be in force,
	// according to the VMs' settings; 0 means ApplyWithin.
	Apply time.Duration
	// Rollouts bounds the orders to move services to other versions; unset for none.
	Rollouts rollout.Bounds
	// NoGoals leaves out the latency goals of the routes, so that a gathered answer waits
	// for all shards until the time-out.
	NoGoals bool
	// MapAddress, if set, returns the address that VMs use instead of the address of
	// a replica or the store, such as a proxy's.
	MapAddress func(address string) string
}

// SmallSite returns a small deployment of three zones, for tests.
func SmallSite() SiteSpec {
	return SiteSpec{
		Zones: []string{"windhoek-north", "windhoek-south", "okahandja"}, VMs: 2,
		Shards: 4, Replicas: 3, Slots: 4, Connections: 35, DeskReplicas: 4, Work: 5 * time.Millisecond,
	}
}

// The hosts, services and time bounds of a Site.
const (
	SearchHost = "search.example"
	DeskHost   = "desk.example"
	Desk       = ident.ServiceID("kitchen-desk")
	OtherDesk  = ident.ServiceID("serving-desk")
	// StoreSettleTime is how long the store must have been free of faults before it
	// counts as stable.
	StoreSettleTime = 2500 * time.Millisecond
	// ApplyWithin is the time within which a change must be in force.
	ApplyWithin = 3 * time.Second
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod = 4 * time.Second
)

// A Site is a running deployment of stand-ins. See StartSite.
type Site struct {
	Spec     SiteSpec
	Platform *standin.Platform
	Replicas []*standin.Replica
	// Boots holds the settings of each VM.
	Boots []platform.BootSpec
	// Configuration is the last one that was written to the store.
	Configuration catalogue.Configuration
}

// StartSite starts the stand-ins and writes the first configuration.
func StartSite(spec SiteSpec) (*Site, error) {
	s := &Site{Spec: spec}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

// Shard returns the name of the i-th service that a search queries.
func Shard(i int) ident.ServiceID { return ident.ServiceID(fmt.Sprintf("route-planner-%d", i)) }

func (s *Site) start() error {
	var err error
	if s.Platform, err = standin.NewPlatform(loopback); err != nil {
		return err
	}
	for i := range s.Spec.Shards {
		if err := s.StartReplicas(Shard(i), "", s.Spec.Replicas); err != nil {
			return err
		}
	}
	if err := s.StartReplicas(Desk, "", s.Spec.DeskReplicas); err != nil {
		return err
	}
	if err := s.StartReplicas(OtherDesk, "", s.Spec.OtherDeskReplicas); err != nil {
		return err
	}
	if err := s.Configure(s.firstConfiguration()); err != nil {
		return err
	}
	for i := range s.Spec.VMs {
		boot, err := s.boot(i)
		if err != nil {
			return err
		}
		s.Boots = append(s.Boots, boot)
	}
	return nil
}

// StartReplicas starts n replicas of a service with a version of its software, which may be
// empty, and writes their entries.
func (s *Site) StartReplicas(service ident.ServiceID, software ident.Software, n int) error {
	for i := range n {
		r, err := standin.NewReplica(loopback, standin.ReplicaConfig{
			Replica: catalogue.Replica{
				ID: ident.ReplicaID(fmt.Sprintf("%s%s.%d", service, software, i)), Service: service, Software: software,
				Zone: ident.ZoneID(s.Spec.Zones[i%len(s.Spec.Zones)]), Slots: s.Spec.Slots,
			},
			Work: s.Spec.Work, Seed: s.Spec.Seed + uint64(len(s.Replicas)),
		})
		if err != nil {
			return err
		}
		s.Replicas = append(s.Replicas, r)
		if err := s.WriteEntry(r, false); err != nil {
			return err
		}
	}
	return nil
}

// WriteEntry writes a replica's entry to the store, marked as leaving or not.
func (s *Site) WriteEntry(r *standin.Replica, leaving bool) error {
	e := r.Entry()
	e.Leaving = leaving
	e.Address = s.advertisedAddress(e.Address)
	spec, err := platform.MarshalReplica(e, 0)
	if err == nil {
		s.Platform.Set(platform.ReplicaKind, string(e.ID), spec)
	}
	return err
}

// Withdraw removes a replica's entry from the store.
func (s *Site) Withdraw(r *standin.Replica) {
	s.Platform.Remove(platform.ReplicaKind, string(r.Entry().ID))
}

// advertisedAddress returns the address that VMs use for the address of a replica
// or the store.
func (s *Site) advertisedAddress(address string) string {
	if s.Spec.MapAddress == nil {
		return address
	}
	return s.Spec.MapAddress(address)
}

func (s *Site) firstConfiguration() catalogue.Configuration {
	c := catalogue.Configuration{Version: 3, Limits: route.Limits{
		HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	searchTarget := route.Target{Weight: 1}
	for i := range s.Spec.Shards {
		searchTarget.Services = append(searchTarget.Services, Shard(i))
		c.Services = append(c.Services, catalogue.Service{ID: Shard(i), Connections: s.Spec.Connections})
	}
	c.Services = append(c.Services, catalogue.Service{ID: Desk, Connections: s.Spec.Connections})
	if s.Spec.OtherDeskReplicas > 0 {
		c.Services = append(c.Services, catalogue.Service{ID: OtherDesk, Connections: s.Spec.Connections})
	}
	deskTargets := []route.Target{{Services: []ident.ServiceID{Desk}, Weight: 1}}
	c.Routes = []route.Route{
		{
			Name: "urgent", Host: SearchHost, Prefix: "/urgent/", Gather: true, Repeatable: true, Top: 5, LeastCoverage: 0.75,
			Timeout: 600 * time.Millisecond, Goal: 60 * time.Millisecond, Rank: 2, Attempts: 2, Targets: []route.Target{searchTarget},
		},
		{
			Name: "sweep", Host: SearchHost, Prefix: "/sweep/", Gather: true, Repeatable: true, Top: 50, LeastCoverage: 0.75,
			Timeout: 1500 * time.Millisecond, Goal: 150 * time.Millisecond, Rank: 1, Attempts: 2, Targets: []route.Target{searchTarget},
		},
		{
			Name: "look", Host: DeskHost, Prefix: "/look/", Repeatable: true,
			Timeout: 3 * time.Second, Goal: 300 * time.Millisecond, Rank: 2, Attempts: 2, Targets: deskTargets,
		},
		{
			Name: "order", Host: DeskHost, Prefix: "/order/",
			Timeout: 3 * time.Second, Goal: 300 * time.Millisecond, Rank: 2, Attempts: 2, Targets: deskTargets,
		},
	}
	if s.Spec.NoGoals {
		for i := range c.Routes {
			c.Routes[i].Goal = 0
		}
	}
	return c
}

// Order writes an order to move a service to another version to the store, as the operator
// would.
func (s *Site) Order(o rollout.Order) error {
	spec, err := platform.MarshalRollout(o)
	if err == nil {
		s.Platform.Set(platform.KindRollouts, string(o.Service), spec)
	}
	return err
}

// Configure writes a configuration to the store, as the operator would.
func (s *Site) Configure(c catalogue.Configuration) error {
	spec, err := platform.MarshalConfiguration(c)
	if err == nil {
		s.Configuration = c
		s.Platform.Set(platform.ConfigurationKind, platform.ConfigurationName, spec)
	}
	return err
}

func (s *Site) boot(i int) (platform.BootSpec, error) {
	ports := make([]int, 3)
	for j := range ports {
		port, err := freeTCP()
		if err != nil {
			return platform.BootSpec{}, err
		}
		ports[j] = port
	}
	return platform.BootSpec{
		VM: fmt.Sprintf("entry-%d", i), Zone: s.Spec.Zones[i%len(s.Spec.Zones)], Zones: s.Spec.Zones, IP: "127.0.0.1",
		Front: ports[0], Ready: ports[1], Internal: ports[2], Store: s.advertisedAddress(s.Platform.Address()),
		Grace: GracePeriod, Apply: cmp.Or(s.Spec.Apply, ApplyWithin), QuotaLimits: retry.QuotaLimits{Ratio: 0.2, Allowance: 52, Span: 10 * time.Second},
		Rollouts: s.Spec.Rollouts,
	}, nil
}

// The ports of VMs lie below those that the system assigns to outgoing
// connections, 32768 and up on Linux: a port from that range could be in use by a
// connection when the VM restarts.
const (
	minPort      = 10_000
	maxPort      = 32_000
	maxPortTries = 100
)

// portCounter counts the ports that this process has tried, from a random start,
// so that none is returned twice.
var portCounter atomic.Int64

func init() { portCounter.Store(rand.Int64N(maxPort - minPort)) }

// freeTCP returns a loopback port that was free when it was checked.
func freeTCP() (int, error) {
	var err error
	for range maxPortTries {
		port := minPort + int(portCounter.Add(1)%(maxPort-minPort))
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, err
}

// Replica returns the stand-in with that ID, or nil.
func (s *Site) Replica(id ident.ReplicaID) *standin.Replica {
	for _, r := range s.Replicas {
		if r.Entry().ID == id {
			return r
		}
	}
	return nil
}

// Close stops all stand-ins.
func (s *Site) Close() error {
	var err error
	for _, r := range s.Replicas {
		err = errors.Join(err, r.Close())
	}
	if s.Platform != nil {
		err = errors.Join(err, s.Platform.Close())
	}
	return err
}
