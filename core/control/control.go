// Package control is the decision core of one VM's control state: the
// configuration in force, the roster, the news, and the view that traffic
// reads. Like package node it has no clock, transport or codec: the owner tells
// it what happened and carries out the actions that Drain returns.
package control

import (
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
)

const (
	// ProbePeriod is the time between two probes.
	ProbePeriod = time.Second
	ackTimeout  = 400 * time.Millisecond
	// pushDelay gathers pieces that come close together.
	pushDelay = 20 * time.Millisecond
	// Each VM that learned something tells pushFanout random others in each of
	// pushRounds rounds: a VM is missed by all with a chance of about
	// exp(-pushFanout*pushRounds). pushInterval bounds the messages a second.
	pushFanout           = 3
	pushRounds           = 2
	pushInterval         = 250 * time.Millisecond
	indirectProbes       = 2
	joinFanout           = 3
	deadProbeRounds      = 10
	maxMembersPerMessage = 16
	maxNewsPerMessage    = 16
	// A part of the roster has chunkSize members; a whole round of parts takes
	// chunkPause for each, at the longest chunkLongest between two.
	chunkSize        = 32
	chunkInterval    = 50 * time.Millisecond
	maxChunkInterval = 5 * time.Second
	// transmitLimit is how often a piece is told by each VM that learned it.
	transmitLimit = pushFanout * pushRounds
	// readyDelay after its first ack a new VM is known to its peers, which have
	// then made room for it; joinTimeout after its start it serves without one.
	readyDelay      = 500 * time.Millisecond
	joinTimeout     = 3 * time.Second
	joinQuietPeriod = time.Minute
)

// A Config is the identity and the catalogue of a Core.
type Config struct {
	Self roster.Member
	// Seeds are other VMs known from the settings.
	Seeds []roster.Member
	// Services are the catalogue; Out, Leaving, ColdMark and Rank are ignored.
	Services []view.Service
	Fleet    config.Fleet
	// First is in force until the store holds a configuration; its version is 0
	// where the first one is written to the store before it is in force.
	First config.Configuration
	// Discovers is true where routes and replicas come from discovery; the VM is
	// ready only once they are known.
	Discovers bool
	// Peerless VMs know each other from the platform's list alone.
	Peerless bool
	// Terms bound the extra attempts of all VMs at each discovered service.
	Terms retry.QuotaLimits
	// Random decides whom to tell; nil takes a fixed seed.
	Random replica.Random
}

// A ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of Action.
const (
	// Send sends a Message to the VM To at Address.
	Send ActionKind = iota
	// Repair writes Configuration to the platform, which holds an older one.
	Repair
	// Publish makes View the current view.
	Publish
)

// An Action is something that the owner does for the Core.
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
	// Indirect is set once others were asked to probe.
	indirect bool
	// For is the VM that asked for this probe, with its sequence.
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
	kind     timerKind
	sequence uint64
}

// A PeerVersion is the configuration that another VM last told to have.
type PeerVersion struct {
	Version ident.Version
	// Since is when it was first heard, LastReceived when it was last heard.
	Since, LastReceived ident.Instant
}

// A Core is the decision core of one VM's control state.
type Core struct {
	config        Config
	random        replica.Random
	roster        *roster.Roster
	configuration config.Configuration
	// InForceSince is when the current version came into force here.
	inForceSince  ident.Instant
	news          news.Set
	newsOutbox    news.Outbox[news.Key, news.Item]
	membersOutbox news.Outbox[ident.VMID, roster.Member]
	timers        container.Timers[timer]
	// Probes holds the probes that wait for an ack.
	probes      map[uint64]*probe
	sequence    uint64
	probeRounds int
	// PushesLeft counts the rounds until nothing new is left to push; PushSet
	// is true while a push timer is pending.
	pushRoundsLeft int
	pushScheduled  bool
	chunkPosition  int
	versions       map[ident.VMID]PeerVersion
	// ReadyAt is when this VM may serve, once it has a configuration.
	readyAt   ident.Instant
	joined    bool
	platform  PlatformState
	viewStale bool
	// Ranks are this VM's places in the order of each service's replicas, for
	// senders; members are for the view. Both are kept while they hold.
	ranks      [][]int
	senders    []ident.VMID
	rendezvous *roster.RendezvousOrder
	// Found holds the places in the order of discovered replicas.
	discoveredRanks map[ident.ReplicaID]int
	members         container.COW[ident.VMID, view.Member]
	membersStale    bool
	catalogue       catalogue.Book
	// QuietUntil is when this VM has learned the roster: until then what it
	// learns of VMs that are alive is no news to others.
	quietUntil ident.Instant
	// ChunkAfter is when the next part of the roster may be sent.
	nextChunkAt ident.Instant
	actions     []Action
}

// PlatformState is what the Core knows of the platform.
type PlatformState struct {
	Reachable bool
	// LastSuccess is the last success; FailingSince the first failure after it.
	LastSuccess, FailingSince ident.Instant
	// Regressed is true while the store held an older version than this VM.
	Regressed bool
	LastError string
}

// New returns a Core at its VM's start.
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

// Drain appends the actions decided since the last Drain to buf.
func (c *Core) Drain(buf []Action) []Action {
	buf = append(buf, c.actions...)
	clear(c.actions)
	c.actions = c.actions[:0]
	return buf
}

// Wake returns when Tick is due next.
func (c *Core) Wake() ident.Instant {
	return min(c.timers.Next(), c.news.Next(), c.catalogue.Next())
}

// Configuration returns the configuration in force here.
func (c *Core) Configuration() config.Configuration { return c.configuration }

// Watches reports whether this VM should watch the platform now.
func (c *Core) Watches() bool {
	return c.configuration.Version == 0 || c.config.Peerless || c.roster.Watches()
}

// Tick carries out what is due at now.
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
	c.processChanges(now)
}

// Report takes evidence of this VM's own traffic.
func (c *Core) Report(now ident.Instant, n node.News) {
	if c.config.Discovers && n.Kind != node.Crash {
		// Discovery tells the condition of replicas; each VM has evidence of its
		// own for the rest.
		return
	}
	kind := news.Kind(n.Kind)
	subject := string(n.Replica)
	if n.Kind == node.Crash {
		subject = fingerprintSubject(n.Fingerprint)
	}
	c.originateNews(now, kind, subject, n.Crashes)
	c.processChanges(now)
}

func (c *Core) originateNews(now ident.Instant, kind news.Kind, subject string, count int) {
	key := news.Key{Kind: kind, Subject: subject, Origin: c.config.Self.VM}
	item := news.Item{Key: key, Sequence: uint64(now), Expires: now.Add(kind.Lifetime()), Count: count}
	if old, ok := c.news.Get(key); ok && kind == news.Crash {
		item.Count += old.Count
	}
	c.addNews(now, item)
}

func (c *Core) addNews(now ident.Instant, item news.Item) {
	if !c.news.Add(now, item) {
		return
	}
	c.viewStale = true
	c.newsOutbox.Add(item.Key, item, transmitLimit)
	c.schedulePush(now)
}

// Leave tells the other VMs that this one stops.
func (c *Core) Leave(now ident.Instant) {
	c.roster.Leave(now)
	c.processChanges(now)
	c.push(now)
}

// ConfigurationRead takes the configuration that the store holds; Version 0 for none.
func (c *Core) ConfigurationRead(now ident.Instant, held config.Configuration) {
	c.platform.Reachable, c.platform.LastSuccess = true, now
	c.platform.FailingSince, c.platform.LastError = 0, ""
	if c.config.Discovers && held.Version <= c.configuration.Version {
		// The platform's store loses nothing that it acknowledged: what is older came
		// late, through a mirror, and needs no repair.
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

// PlatformFailed notes that the store could not be reached.
func (c *Core) PlatformFailed(now ident.Instant, reason string) {
	if c.platform.FailingSince == 0 {
		c.platform.FailingSince = now
	}
	c.platform.Reachable, c.platform.LastError = false, reason
}

// ConfigurationChanged takes a configuration that an operator's change made here.
func (c *Core) ConfigurationChanged(now ident.Instant, next config.Configuration) {
	c.adopt(now, next)
	c.processChanges(now)
}

// VMsListed takes the platform's list of VMs and replicas.
func (c *Core) VMsListed(now ident.Instant, vms []ListedVM) {
	var live []ident.VMID
	for _, vm := range vms {
		live = append(live, ident.VMID(vm.Name))
		if !vm.Leaving {
			continue
		}
		key := news.Key{Kind: news.Leaving, Subject: vm.Name, Origin: c.config.Self.VM}
		if old, ok := c.news.Get(key); !ok || old.Expires.Sub(now) < news.Leaving.Lifetime()/2 {
			c.originateNews(now, news.Leaving, vm.Name, 0)
		}
	}
	c.roster.SetListed(live)
	if c.config.Peerless {
		c.roster.Replace(now, productMembers(vms))
	}
	c.viewStale = true
	c.processChanges(now)
}

// ListedVM is an entry of the platform's list.
type ListedVM struct {
	Name    string
	Leaving bool
	// Zone, Address and Incarnation are set for VMs of the product.
	Zone        ident.ZoneID
	Address     string
	Incarnation ident.Incarnation
}

// productMembers returns the listed VMs of the product.
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

// adopt takes a configuration of a higher version; any other is ignored, so
// the version never falls.
func (c *Core) adopt(now ident.Instant, next config.Configuration) {
	if next.Version <= c.configuration.Version {
		return
	}
	c.configuration = next
	c.inForceSince = now
	c.viewStale = true
	c.schedulePush(now)
}

// processChanges expires the roster, gathers what changed and publishes a new view.
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

// schedulePush starts the rounds that tell others of something new.
func (c *Core) schedulePush(now ident.Instant) {
	c.pushRoundsLeft = pushRounds
	if !c.pushScheduled {
		c.pushScheduled = true
		c.timers.Add(now.Add(pushDelay), timer{kind: pushTimer})
	}
}

func (c *Core) pushRound(now ident.Instant) {
	c.push(now)
	c.pushRoundsLeft--
	c.pushScheduled = c.pushRoundsLeft > 0
	if c.pushScheduled {
		c.timers.Add(now.Add(pushInterval), timer{kind: pushTimer})
	}
}

func (c *Core) push(now ident.Instant) {
	for _, m := range c.roster.Sample(c.random, pushFanout, "") {
		c.send(now, m, &Message{Kind: Push})
	}
}
