package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
)

const (
	defaultStopWithin  = 30 * time.Second
	maxStopWithin      = 10 * time.Minute
	defaultCallTimeout = 2 * time.Second
	// defaultLeaveNotice is 4 periods of a load balancer that checks readiness every 50 ms.
	defaultLeaveNotice    = 200 * time.Millisecond
	maxExtraSpan          = 10 * time.Minute
	maxCallTimeout        = time.Minute
	defaultCallsPerSecond = 60
	maxCallsPerSecond     = 500
	maxSlots              = 1024
	maxConnections        = 10_000
	maxConnectionCost     = time.Second
	// Reply memory is in bytes.
	defaultReplyMemory = 64 << 20
	minReplyMemory     = 1 << 20
	maxReplyMemory     = 64 << 30
	// Request memory is in bytes. A listener must hold a request of the largest size that
	// the operators' door reads.
	defaultRequestMemory     = 64 << 20
	minRequestMemory         = 4 << 20
	maxRequestMemory         = 64 << 30
	defaultCallerConnections = 4096
	minCallerConnections     = 16
	maxCallerConnections     = 1 << 20
)

// namePattern excludes dots from names, because dots separate the fields of a ticket.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// setDefaults fills in the fields that the file omits. A service without shard maps
// gets one that contains the shards of its replicas.
func (s *Settings) setDefaults() {
	m := s.Message
	m.Vm = newIfNil(m.Vm)
	m.Platform = newIfNil(m.Platform)
	m.Peers = newIfNil(m.Peers)
	if m.Vm.StopWithin == nil {
		m.Vm.StopWithin = durationpb.New(defaultStopWithin)
	}
	if m.Vm.LeaveNotice == nil {
		m.Vm.LeaveNotice = durationpb.New(defaultLeaveNotice)
	}
	if m.Platform.Timeout == nil {
		m.Platform.Timeout = durationpb.New(defaultCallTimeout)
	}
	if m.Platform.CallsPerSecond == 0 {
		m.Platform.CallsPerSecond = defaultCallsPerSecond
	}
	if m.Discovery != nil && m.Discovery.ReplyMemoryBytes == 0 {
		m.Discovery.ReplyMemoryBytes = defaultReplyMemory
	}
	m.Vm.RequestMemoryBytes = cmp.Or(m.Vm.RequestMemoryBytes, defaultRequestMemory)
	m.Vm.CallerConnections = cmp.Or(m.Vm.CallerConnections, defaultCallerConnections)
	if d := m.Discovery; d != nil {
		d.RequestMemoryBytes = cmp.Or(d.RequestMemoryBytes, defaultRequestMemory)
		d.CallerConnections = cmp.Or(d.CallerConnections, defaultCallerConnections)
	}
	if m.LogLevel == "" {
		m.LogLevel = "info"
	}
	for _, service := range m.Services {
		if len(service.ShardMaps) == 0 {
			service.ShardMaps = []*schema.ShardMapSettings{{Version: 1, SinceSnapshot: 1, Shards: shardsOf(service)}}
		}
	}
}

func newIfNil[T any](m *T) *T {
	if m == nil {
		return new(T)
	}
	return m
}

// shardsOf returns the shards that the service's replicas serve, in ascending order.
func shardsOf(service *schema.ServiceSettings) []uint32 {
	var shards []uint32
	for _, r := range service.Replicas {
		shards = append(shards, r.Shard)
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

// A checker collects an error with the field's path for each invalid field.
type checker struct {
	errs []error
}

// add records an error for the field with the path.
func (c *checker) add(path, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
}

func (c *checker) name(path, v string) {
	if !namePattern.MatchString(v) {
		c.add(path, "found %q, allowed: lower case letters, digits and hyphens, 1 to 63", v)
	}
}

func (c *checker) address(path, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(path, "found %q, allowed: IP:port", v)
	}
}

func (c *checker) duration(path string, d *durationpb.Duration, low, high time.Duration) {
	if v := d.AsDuration(); v < low || v > high {
		c.add(path, "found %v, allowed %v to %v", v, low, high)
	}
}

func (c *checker) oneOf(path, v string, allowed []string) {
	if !slices.Contains(allowed, v) {
		c.add(path, "found %q, allowed: %v", v, allowed)
	}
}

func (c *checker) count(path string, v, low, high uint32) {
	if v < low || v > high {
		c.add(path, "found %d, allowed %d to %d", v, low, high)
	}
}

// check returns one error for each invalid field.
func (s *Settings) check() []error {
	m, c := s.Message, &checker{}
	c.name("deployment", m.Deployment)
	c.name("vm.name", m.Vm.Name)
	c.oneOf("vm.zone", m.Vm.Zone, m.Zones)
	c.address("vm.listen", m.Vm.Listen)
	if m.Vm.Operators != "" {
		c.address("vm.operators", m.Vm.Operators)
	}
	c.callers("vm", m.Vm.RequestMemoryBytes, m.Vm.CallerConnections)
	c.duration("vm.stop-within", m.Vm.StopWithin, time.Millisecond, maxStopWithin)
	c.duration("vm.leave-notice", m.Vm.LeaveNotice, 0, m.Vm.StopWithin.AsDuration())
	c.address("platform.address", m.Platform.Address)
	c.duration("platform.timeout", m.Platform.Timeout, time.Millisecond, maxCallTimeout)
	if r := m.Platform.CallsPerSecond; r < 0.1 || r > maxCallsPerSecond {
		c.add("platform.calls-per-second", "found %v, allowed 0.1 to %d", r, maxCallsPerSecond)
	}
	c.oneOf("log-level", m.LogLevel, logLevels)
	c.zones(m.Zones)
	c.peers(m)
	if m.Discovery != nil {
		c.discovery(m.Discovery)
	} else {
		c.services(m)
	}
	c.presets(m)
	return c.errs
}

func (c *checker) zones(zones []string) {
	if len(zones) == 0 {
		c.add("zones", "found none, at least one is needed")
	}
	for i, z := range zones {
		path := fmt.Sprintf("zones[%d]", i)
		c.name(path, z)
		if slices.Index(zones, z) < i {
			c.add(path, "found %q twice", z)
		}
	}
}

func (c *checker) peers(m *schema.Settings) {
	p := m.Peers
	if p.Listen == "" && len(p.Seeds) == 0 {
		return
	}
	c.address("peers.listen", p.Listen)
	for field, v := range map[string]string{
		"peers.certificate": p.Certificate, "peers.key": p.Key, "peers.authority": p.Authority,
	} {
		if v == "" {
			c.add(field, "found none, a file's path is needed")
		}
	}
	for i, seed := range p.Seeds {
		path := fmt.Sprintf("peers.seeds[%d]", i)
		c.name(path+".vm", seed.Vm)
		c.oneOf(path+".zone", seed.Zone, m.Zones)
		c.address(path+".address", seed.Address)
		if seed.Vm == m.Vm.Name {
			c.add(path+".vm", "found %q, which is this VM", seed.Vm)
		}
	}
}

// callers checks the limits of a listener for callers.
func (c *checker) callers(path string, memory uint64, connections uint32) {
	if memory < minRequestMemory || memory > maxRequestMemory {
		c.add(path+".request-memory-bytes", "found %d, allowed %d to %d", memory, minRequestMemory, int64(maxRequestMemory))
	}
	c.count(path+".caller-connections", connections, minCallerConnections, maxCallerConnections)
}

func (c *checker) discovery(d *schema.DiscoverySettings) {
	c.callers("discovery", d.RequestMemoryBytes, d.CallerConnections)
	if v := d.ReplyMemoryBytes; v < minReplyMemory || v > maxReplyMemory {
		c.add("discovery.reply-memory-bytes", "found %d, allowed %d to %d", v, minReplyMemory, int64(maxReplyMemory))
	}
	c.address("discovery.front", d.Front)
	c.address("discovery.ready", d.Ready)
	c.duration("discovery.extra-span", d.ExtraSpan, time.Millisecond, maxExtraSpan)
	if d.ExtraRatio < 0 || d.ExtraRatio > 1 {
		c.add("discovery.extra-ratio", "found %v, allowed 0 to 1", d.ExtraRatio)
	}
	if share := d.GetRollout().GetCanaryShare(); !(share >= 0 && share <= 1) {
		c.add("discovery.rollout.canary-share", "found %v, allowed 0 to 1", share)
	}
}

func (c *checker) services(m *schema.Settings) {
	if len(m.Services) == 0 {
		c.add("services", "found none, at least one is needed")
	}
	services, replicas := map[string]bool{}, map[string]bool{}
	for i, s := range m.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", s.Name)
		if services[s.Name] {
			c.add(path+".name", "found %q twice", s.Name)
		}
		services[s.Name] = true
		c.count(path+".slots", s.Slots, 1, maxSlots)
		c.count(path+".connections", s.Connections, 1, maxConnections)
		c.duration(path+".connection-cost", s.ConnectionCost, 0, maxConnectionCost)
		for j, r := range s.Replicas {
			replicaPath := fmt.Sprintf("%s.replicas[%d]", path, j)
			c.name(replicaPath+".name", r.Name)
			c.oneOf(replicaPath+".zone", r.Zone, m.Zones)
			c.address(replicaPath+".address", r.Address)
			if replicas[r.Name] {
				c.add(replicaPath+".name", "found %q twice", r.Name)
			}
			replicas[r.Name] = true
		}
		c.shardMaps(path, s)
	}
}

func (c *checker) shardMaps(path string, s *schema.ServiceSettings) {
	if !ShardMaps(s).Valid() {
		c.add(path+".shard-maps", "versions and since-snapshot must rise, and no map may repeat a shard")
	}
	served := shardsOf(s)
	for i, sm := range s.ShardMaps {
		for _, shard := range sm.Shards {
			if !slices.Contains(served, shard) {
				c.add(fmt.Sprintf("%s.shard-maps[%d].shards", path, i), "found %d, which no replica serves", shard)
			}
		}
	}
}

func (c *checker) presets(m *schema.Settings) {
	if len(m.Presets) == 0 {
		return
	}
	seen := map[string]bool{}
	for i, pm := range m.Presets {
		path := fmt.Sprintf("presets[%d]", i)
		if seen[pm.Name] {
			c.add(path+".name", "found %q twice, presets need distinct names", pm.Name)
		}
		seen[pm.Name] = true
		p := codec.Preset(pm)
		if err := p.Check(); err != nil {
			c.add(path, "%v", err)
		}
	}
	if !seen[m.FirstPreset] {
		c.add("first-preset", "found %q, allowed: the name of one of presets", m.FirstPreset)
	}
}
