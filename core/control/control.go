// Package control implements the control state of one VM: the configuration in
// force, the roster, the news, and the view that the request-processing
// goroutines read. Like package node it has no clock, transport or codec: its
// caller passes in events with the current time and executes the actions that
// Drain returns.
package control

import (
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
)

const (
	// ProbePeriod is the time between two probes.
	ProbePeriod = time.Second
	ackTimeout  = 400 * time.Millisecond
	// pushDelay batches updates that arrive close together into one push.
	pushDelay = 20 * time.Millisecond
	// A VM that receives an update pushes it to pushFanout random others in each of
	// pushRounds rounds. An update fails to reach a given VM with a probability of
	// about exp(-pushFanout*pushRounds). pushInterval limits the message rate.
	pushFanout           = 3
	pushRounds           = 2
	pushInterval         = 250 * time.Millisecond
	indirectProbes       = 2  // VMs asked to probe after a missed ack
	joinFanout           = 3  // VMs probed per round while there is no configuration
	deadProbeRounds      = 10 // rounds between two probes of dead VMs
	maxMembersPerMessage = 16
	maxNewsPerMessage    = 16
	// Differing rosters are synchronised in chunks of chunkSize members. After a
	// chunk the VM waits chunkInterval for each whole chunk in the roster, at most
	// maxChunkInterval, before it sends the next.
	chunkSize        = 32
	chunkInterval    = 50 * time.Millisecond
	maxChunkInterval = 5 * time.Second
	// transmitLimit is how often each VM sends the same update.
	transmitLimit = pushFanout * pushRounds
	// A new VM serves readyDelay after its first ack, when its peers have added it
	// and reduced their shares of the upstreams accordingly, or joinTimeout after its
	// start if it receives no ack.
	readyDelay      = 500 * time.Millisecond
	joinTimeout     = 3 * time.Second
	joinQuietPeriod = time.Minute // see Core.quietUntil
)

// A Config holds the identity and the settings of a Core.
type Config struct {
	Self roster.Member
	// Seeds are the other VMs given in the settings.
	Seeds []roster.Member
	// Services are the services given in the settings. Out, Leaving, ColdMark and
	// Rank of their replicas are ignored.
	Services []view.Service
	Fleet    config.Fleet
	// First is in force until a newer configuration is received. Its version is 0
	// where the initial configuration must be written to the store before it takes
	// effect.
	First config.Configuration
	// Discovers is true if routes and replicas come from discovery. The VM is not
	// ready until it has received both.
	Discovers bool
	// Peerless restricts gossip to news of requests that crash upstreams: the roster comes
	// from the platform's list alone.
	Peerless bool
	// QuotaLimits limit the retries and hedges of all VMs together at each discovered
	// service.
	QuotaLimits retry.QuotaLimits
	// Rollouts bound the orders that move a service to another version of its software. If
	// unset, orders are not followed and versions do not matter.
	Rollouts rollout.Bounds
	// Random selects the VMs to probe and push to; nil for a generator with a
	// fixed seed.
	Random replica.Random
}

// An ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of Action.
const (
	// Send sends Message to the VM To at Address.
	Send ActionKind = iota
	// Repair writes Configuration to the store, which holds an older version.
	Repair
	// Publish makes View the current view.
	Publish
)

// An Action is an instruction to the caller of the Core.
type Action struct {
	Kind          ActionKind
	To            ident.VMID
	Address       string
	Message       *Message
	Configuration *config.Configuration
	View          *view.View
}

type probe struct {
	target   ident.VMID
	sequence uint64
	// indirect is set once other VMs were asked to probe the target.
	indirect bool
	// requester is the VM that asked for this probe, if any, and requesterSequence
	// the sequence of its request.
	requester         ident.VMID
	requesterSequence uint64
}

type timerKind uint8

const (
	probeTimer timerKind = iota
	ackTimer
	pushTimer
	joinTimer
)

type timer struct {
	kind timerKind
	// sequence is that of the probe, for an ackTimer.
	sequence uint64
}

// A PeerVersion is the highest configuration version that another VM has reported.
type PeerVersion struct {
	Version ident.Version
	// Since is when Version was first received, LastReceived when the VM's latest
	// message was received.
	Since, LastReceived ident.Instant
}

// A Core makes the control decisions of one VM. It is not safe for concurrent
// use.
type Core struct {
	config        Config
	random        replica.Random
	roster        *roster.Roster
	configuration config.Configuration
	// inForceSince is when this VM adopted the current version.
	inForceSince  ident.Instant
	news          news.Set
	newsOutbox    news.Outbox[news.Key, news.Item]
	membersOutbox news.Outbox[ident.VMID, roster.Member]
	timers        container.Timers[timer]
	// probes holds the probes that await an ack, by sequence.
	probes      map[uint64]*probe
	sequence    uint64
	probeRounds int
	// pushRoundsLeft is the number of push rounds still to run; pushScheduled is
	// true while a push timer is pending.
	pushRoundsLeft int
	pushScheduled  bool
	// chunkPosition is the index of the last member sent by nextRosterChunk.
	chunkPosition int
	versions      map[ident.VMID]PeerVersion
	// readyAt is the earliest time at which this VM serves, given a configuration.
	readyAt ident.Instant
	// joined is true once a peer has acknowledged a probe.
	joined   bool
	platform PlatformState
	// vmsListed is true once the platform's list of VMs was received. Before, this VM does
	// not know with how many others it shares the limits of the upstreams.
	vmsListed bool
	// viewStale is true if the state has changed since the last Publish.
	viewStale bool
	// ranks caches this VM's rendezvous rank for each replica of each service in
	// Config.Services. It is valid while senders is unchanged.
	ranks      [][]int
	senders    []ident.VMID
	rendezvous *roster.RendezvousOrder
	// discoveredRanks caches the ranks for discovered replicas.
	discoveredRanks map[ident.ReplicaID]int
	assignments     assignments
	// members caches the members of the view while membersStale is false.
	members      container.COW[ident.VMID, view.Member]
	membersStale bool
	catalogue    catalogue.Catalogue
	rollouts     rollout.Manager
	// rolloutsNext is when the view changes because of a rollout.
	rolloutsNext ident.Instant
	// ordersUntil is the latest time until which the VM waits for the list of orders.
	ordersUntil ident.Instant
	// quietUntil ends the period in which this VM receives the existing roster. Until
	// then it does not forward entries of alive VMs, which the others already have.
	quietUntil ident.Instant
	// nextChunkAt is when the next chunk of the roster may be sent.
	nextChunkAt ident.Instant
	actions     []Action
}

// PlatformState is the state of the platform's store as this VM last observed it.
type PlatformState struct {
	Reachable bool
	// LastSuccess is when the store was last read, FailingSince when the first read
	// after that failed; 0 if none.
	LastSuccess, FailingSince ident.Instant
	// Regressed is true if the store last held an older version than this VM.
	Regressed bool
	LastError string
}

// New returns the Core of a VM that starts at now.
func New(now ident.Instant, c Config) *Core {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 2))
	}
	core := &Core{
		config: c, random: c.Random, roster: roster.New(now, c.Self),
		probes: map[uint64]*probe{}, versions: map[ident.VMID]PeerVersion{},
		viewStale: true, membersStale: true,
	}
	core.quietUntil = now.Add(joinQuietPeriod)
	core.startRollouts(now)
	for _, seed := range c.Seeds {
		core.roster.Merge(now, seed)
	}
	core.configuration = c.First
	if !c.Peerless {
		core.timers.Add(now, timer{kind: probeTimer})
	}
	if len(c.Seeds) > 0 {
		core.readyAt = now.Add(joinTimeout)
		core.timers.Add(core.readyAt, timer{kind: joinTimer})
	}
	core.publish(now)
	return core
}

// Drain appends the actions queued since the last Drain to buf and returns it.
func (c *Core) Drain(buf []Action) []Action {
	buf = append(buf, c.actions...)
	clear(c.actions)
	c.actions = c.actions[:0]
	return buf
}

// Wake returns when Tick must be called next.
func (c *Core) Wake() ident.Instant {
	return min(c.timers.Next(), c.news.Next(), c.catalogue.Next(), c.rolloutsNext)
}

// Configuration returns the configuration in force on this VM.
func (c *Core) Configuration() config.Configuration { return c.configuration }

// Watches reports whether this VM should currently watch the platform.
func (c *Core) Watches() bool {
	return c.configuration.Version == 0 || c.config.Peerless || c.roster.Watches()
}

// Tick runs the timers that are due and removes expired entries.
func (c *Core) Tick(now ident.Instant) {
	for {
		t, ok := c.timers.Pop(now)
		if !ok {
			break
		}
		switch t.kind {
		case probeTimer:
			c.startProbeRound(now)
		case ackTimer:
			c.handleAckTimeout(now, t.sequence)
		case pushTimer:
			c.pushRound(now)
		case joinTimer:
			c.viewStale = true
		}
	}
	if c.news.Expire(now) {
		c.viewStale = true
	}
	if c.catalogue.Expire(now) {
		c.viewStale = true
	}
	if now >= c.rolloutsNext {
		c.viewStale = true
	}
	c.processChanges(now)
}

// Leave announces the shutdown of this VM to other VMs.
func (c *Core) Leave(now ident.Instant) {
	c.roster.Leave(now)
	c.processChanges(now)
	c.push(now)
}

// ConfigurationRead processes the configuration that was read from the store, with
// Version 0 if the store is empty. It adopts a newer version, and without
// discovery it requests a repair if the store holds an older one.
func (c *Core) ConfigurationRead(now ident.Instant, held config.Configuration) {
	c.platform.Reachable, c.platform.LastSuccess = true, now
	c.platform.FailingSince, c.platform.LastError = 0, ""
	if c.config.Discovers && held.Version <= c.configuration.Version {
		// With discovery, the platform's store does not lose acknowledged writes: an
		// older version was read late, through a mirror, and needs no repair.
		return
	}
	c.platform.Regressed = held.Version < c.configuration.Version
	if c.platform.Regressed {
		newest := c.configuration
		c.actions = append(c.actions, Action{Kind: Repair, Configuration: &newest})
		return
	}
	c.adopt(now, held)
	c.processChanges(now)
}

// PlatformFailed records that the store could not be reached.
func (c *Core) PlatformFailed(now ident.Instant, reason string) {
	if c.platform.FailingSince == 0 {
		c.platform.FailingSince = now
	}
	c.platform.Reachable, c.platform.LastError = false, reason
}

// ConfigurationChanged processes a configuration that results from an operator's
// change on this VM.
func (c *Core) ConfigurationChanged(now ident.Instant, next config.Configuration) {
	c.adopt(now, next)
	c.processChanges(now)
}

// VMsListed processes the platform's list of VMs and replicas.
func (c *Core) VMsListed(now ident.Instant, vms []ListedVM) {
	var listed []ident.VMID
	for _, vm := range vms {
		listed = append(listed, ident.VMID(vm.Name))
		if !vm.Leaving {
			continue
		}
		key := news.Key{Kind: news.Leaving, Subject: vm.Name, Origin: c.config.Self.VM}
		if old, ok := c.news.Get(key); !ok || old.Expires.Sub(now) < news.Leaving.Lifetime()/2 {
			c.originateNews(now, news.Leaving, vm.Name, 0)
		}
	}
	c.roster.SetListed(listed)
	c.vmsListed = true
	if c.config.Peerless {
		c.roster.Replace(now, productMembers(vms))
	}
	c.viewStale = true
	c.processChanges(now)
}

// A ListedVM is an entry of the platform's list: a VM of the product or an
// upstream replica.
type ListedVM struct {
	Name    string
	Leaving bool
	// Zone, Address and Incarnation are only set for VMs of the product.
	Zone        ident.ZoneID
	Address     string
	Incarnation ident.Incarnation
}

// productMembers returns the listed VMs of the product that are not shutting
// down.
func productMembers(vms []ListedVM) []roster.Member {
	var out []roster.Member
	for _, vm := range vms {
		if vm.Zone != "" && !vm.Leaving {
			out = append(out, roster.Member{
				VM: ident.VMID(vm.Name), Zone: vm.Zone, Address: vm.Address, Incarnation: vm.Incarnation,
			})
		}
	}
	return out
}

// adopt puts a configuration into force if its version is higher than the
// current one, so the version never decreases.
func (c *Core) adopt(now ident.Instant, next config.Configuration) {
	if next.Version <= c.configuration.Version {
		return
	}
	c.configuration = next
	c.inForceSince = now
	c.viewStale = true
	c.schedulePush(now)
}

// processChanges expires roster entries, queues changed ones for sending and
// publishes a new view if the state has changed.
func (c *Core) processChanges(now ident.Instant) {
	c.roster.Expire(now)
	for _, m := range c.roster.Changed() {
		c.viewStale, c.membersStale = true, true
		if m.State == roster.Alive && m.VM != c.config.Self.VM && now < c.quietUntil {
			continue
		}
		c.membersOutbox.Add(m.VM, m, transmitLimit)
		c.schedulePush(now)
	}
	if c.viewStale {
		c.publish(now)
	}
}

// schedulePush starts, or restarts, the push rounds that send queued updates.
func (c *Core) schedulePush(now ident.Instant) {
	c.pushRoundsLeft = pushRounds
	if !c.pushScheduled {
		c.pushScheduled = true
		c.timers.Add(now.Add(pushDelay), timer{kind: pushTimer})
	}
}

// pushRound runs one push round and schedules the next if one is left.
func (c *Core) pushRound(now ident.Instant) {
	c.push(now)
	c.pushRoundsLeft--
	c.pushScheduled = c.pushRoundsLeft > 0
	if c.pushScheduled {
		c.timers.Add(now.Add(pushInterval), timer{kind: pushTimer})
	}
}

// push sends queued updates to random neighbours.
func (c *Core) push(now ident.Instant) {
	if c.config.Peerless && c.newsOutbox.Len() == 0 {
		return
	}
	for _, m := range c.roster.Sample(c.random, pushFanout, "") {
		c.send(now, m, &Message{Kind: Push})
	}
}
