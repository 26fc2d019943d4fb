package mirror

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

// fanout is how many VMs read through one mirror. A zone of a hundred VMs is two
// mirrors deep; its first VM would else answer a hundred questions a second for
// each kind.
const fanout = 16

// A Member is a VM that may be a mirror.
type Member struct {
	VM      ident.VMID
	Zone    ident.ZoneID
	Address string
	// Certificate is the digest of the one that the VM shows.
	Certificate string
}

// A Selector tells a VM whom to read from: one of the VMs of its own zone that come
// before it in an order on which all agree, so that the zone forms a tree. The
// first VM of a zone reads from the first one of the region, which reads the store.
// Its methods may be called from several goroutines.
type Selector struct {
	self Member
	// Region holds the availability zones of the VM's region.
	region []ident.ZoneID
	direct bool

	mu      sync.Mutex
	members map[ident.VMID]Member
	// Order holds the VMs of the own zone, regional those of the region, the first
	// one first.
	order, regional []Member
	// Listed is closed when the list of VMs was taken once.
	listed chan struct{}
	// PassedOver holds until when a mirror is left out.
	passedOver map[ident.VMID]time.Time
}

// NewSelector returns the Choice of a VM that knows no other; region holds the zones
// of its region.
func NewSelector(self Member, region []ident.ZoneID) *Selector {
	return &Selector{
		self: self, region: region, members: map[ident.VMID]Member{}, passedOver: map[ident.VMID]time.Time{},
		listed: make(chan struct{}),
	}
}

// AlwaysReadStore makes the VM read the store itself, whatever others there are. It must
// be called before the Choice is used.
func (c *Selector) AlwaysReadStore() { c.direct = true }

// SetMembers takes the list of VMs.
func (c *Selector) SetMembers(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.members)
	c.order, c.regional = c.order[:0], c.regional[:0]
	for _, m := range members {
		c.members[m.VM] = m
		if m.Certificate == "" {
			continue
		}
		if m.Zone == c.self.Zone {
			c.order = append(c.order, m)
		}
		if slices.Contains(c.region, m.Zone) {
			c.regional = append(c.regional, m)
		}
	}
	slices.SortFunc(c.order, compare)
	slices.SortFunc(c.regional, compare)
	select {
	case <-c.listed:
	default:
		close(c.listed)
	}
}

// Ready is closed once the list of VMs was taken.
func (c *Selector) Ready() <-chan struct{} { return c.listed }

// compare tells which of two VMs comes first.
func compare(a, b Member) int {
	return cmp.Or(cmp.Compare(weight(a.VM), weight(b.VM)), cmp.Compare(a.VM, b.VM))
}

// weight spreads the order over the VMs' names, so that it does not follow the
// numbers in them.
func weight(vm ident.VMID) uint64 { return xxhash.Sum64String("mirror " + string(vm)) }

// Certificate returns the digest of a VM's certificate.
func (c *Selector) Certificate(vm ident.VMID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[vm]
	return m.Certificate, ok && m.Certificate != ""
}

// Mirrors returns the VMs to ask now, the best one first; none when this VM
// should read the store itself.
func (c *Selector) Mirrors(now time.Time) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct {
		return nil
	}
	if before := c.before(c.order); before > 0 {
		return c.askable(now, append([]Member{c.order[(before-1)/fanout]}, c.order[:before]...))
	}
	return c.askable(now, c.regional[:c.before(c.regional)])
}

// Later returns VMs that come after this one in the order of the region: whom to
// ask while neither the mirrors nor the store can be reached.
func (c *Selector) Later(now time.Time) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := c.regional[c.before(c.regional):]
	if len(later) > 0 && later[0].VM == c.self.VM {
		later = later[1:]
	}
	return c.askable(now, later)
}

// mostAsked is the number of VMs that are asked one after the other.
const mostAsked = 3

// askable returns the first few of a list that are not passed over. The lock must
// be held.
func (c *Selector) askable(now time.Time, list []Member) []Member {
	var out []Member
	for _, m := range list {
		if len(out) < mostAsked && !now.Before(c.passedOver[m.VM]) && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// ReadsStore reports whether it is this VM's part to read the store. Others do so
// only until they know a mirror that is in touch.
func (c *Selector) ReadsStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.direct || (len(c.regional) > 0 && c.regional[0].VM == c.self.VM)
}

// before returns how many VMs of an order come before this one, which may not be on
// the list yet. Asking only those keeps VMs from reading through each other,
// whatever their lists hold. The lock must be held.
func (c *Selector) before(order []Member) int {
	n, _ := slices.BinarySearchFunc(order, c.self, compare)
	return n
}

// InOtherZones returns up to n VMs of other availability zones.
func (c *Selector) InOtherZones(n int) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Member
	// The order of a map spreads the questions.
	for _, m := range c.members {
		if m.Zone != c.self.Zone && m.Certificate != "" && len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// PassOver leaves a mirror out until then.
func (c *Selector) PassOver(until time.Time, vm ident.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passedOver[vm] = until
}
