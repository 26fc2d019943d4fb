package mirror

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycross.example/carawaycross/core/ident"
)

// fanout limits the VMs that read from one mirror. A zone of 100 VMs then has two levels
// of mirrors; with one level, its first VM would answer about 140 questions per second
// for each kind.
const fanout = 16

// A Member is a VM that can be a mirror.
type Member struct {
	VM      ident.VMID
	Zone    ident.ZoneID
	Address string
	// Certificate is the digest of the certificate that the VM presents.
	Certificate string
}

// A Selector selects the mirrors that a VM reads from. All VMs sort the members in the
// same order, and each VM reads from members of its zone that precede it, so that the
// VMs of a zone form a tree. The first VM of a zone reads from the first VM of the
// region, which reads the store. The methods of a Selector may be called from several
// goroutines.
type Selector struct {
	self Member
	// region holds the availability zones of the VM's region.
	region          []ident.ZoneID
	alwaysReadStore bool

	mu      sync.Mutex
	members map[ident.VMID]Member
	// zoneOrder holds the members of the VM's zone and regionOrder those of its region,
	// both sorted by compareMembers.
	zoneOrder, regionOrder []Member
	// others holds the other members of the region: those that follow this VM in the order,
	// then those that precede it, alternating between the availability zones.
	others []Member
	// othersTurn counts the calls of Others.
	othersTurn int
	// departed holds the members of earlier lists that are not in the last one, which may have
	// restarted since, and departedOrder those of the region, sorted by compareMembers. No
	// member of the last list is among them.
	departed      map[ident.VMID]departedMember
	departedOrder []Member
	// ready is closed by the first call of SetMembers.
	ready chan struct{}
	// failedUntil and disconnectedUntil hold the time until which a VM is not selected as a
	// mirror, because it did not answer or because it is disconnected.
	failedUntil, disconnectedUntil map[ident.VMID]time.Time
}

// departedLists is the number of lists without a VM after which it is forgotten.
const departedLists = 6

// A departedMember is a member that the last lists lacked.
type departedMember struct {
	Member
	// lists is the number of lists without the member, less than departedLists.
	lists int
}

// NewSelector returns a Selector without members for the VM self; region holds the zones
// of its region.
func NewSelector(self Member, region []ident.ZoneID) *Selector {
	return &Selector{
		self: self, region: region, members: map[ident.VMID]Member{}, failedUntil: map[ident.VMID]time.Time{},
		disconnectedUntil: map[ident.VMID]time.Time{}, departed: map[ident.VMID]departedMember{}, ready: make(chan struct{}),
	}
}

// AlwaysReadStore makes the VM read the store and no mirror. It must be called before
// the Selector is used.
func (s *Selector) AlwaysReadStore() { s.alwaysReadStore = true }

// SetMembers replaces the members. Those without a certificate are not selected.
func (s *Selector) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDepartures(members)
	clear(s.members)
	s.zoneOrder, s.regionOrder = s.zoneOrder[:0], s.regionOrder[:0]
	for _, m := range members {
		s.members[m.VM] = m
		if m.Certificate == "" {
			continue
		}
		if m.Zone == s.self.Zone {
			s.zoneOrder = append(s.zoneOrder, m)
		}
		if slices.Contains(s.region, m.Zone) {
			s.regionOrder = append(s.regionOrder, m)
		}
	}
	slices.SortFunc(s.zoneOrder, compareMembers)
	slices.SortFunc(s.regionOrder, compareMembers)
	before := s.countBefore(s.regionOrder)
	others := slices.Concat(s.regionOrder[before:], s.regionOrder[:before])
	s.others = alternateZones(slices.DeleteFunc(others, func(m Member) bool { return m.VM == s.self.VM }))
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}

// recordDepartures updates the departed members for a new list. The lock must be held.
func (s *Selector) recordDepartures(next []Member) {
	for vm, d := range s.departed {
		if d.lists++; d.lists < departedLists {
			s.departed[vm] = d
		} else {
			delete(s.departed, vm)
		}
	}
	for vm, m := range s.members {
		if vm != s.self.VM && m.Certificate != "" {
			s.departed[vm] = departedMember{m, 0}
		}
	}
	for _, m := range next {
		delete(s.departed, m.VM)
	}
	s.departedOrder = s.departedOrder[:0]
	for _, d := range s.departed {
		if slices.Contains(s.region, d.Zone) {
			s.departedOrder = append(s.departedOrder, d.Member)
		}
	}
	slices.SortFunc(s.departedOrder, compareMembers)
}

// Ready returns a channel that is closed by the first call of SetMembers.
func (s *Selector) Ready() <-chan struct{} { return s.ready }

// compareMembers orders members by weight, then by name.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(weight(a.VM), weight(b.VM)), cmp.Compare(a.VM, b.VM))
}

// weight hashes the name of a VM, so that the order does not follow the numbers in the
// names.
func weight(vm ident.VMID) uint64 { return xxhash.Sum64String("mirror " + string(vm)) }

// Certificate returns the digest of the certificate of a VM that is listed or was lately, or
// false if it has none.
func (s *Selector) Certificate(vm ident.VMID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[vm]
	if !ok {
		var d departedMember
		d, ok = s.departed[vm]
		m = d.Member
	}
	return m.Certificate, ok && m.Certificate != ""
}

// Mirrors returns the members to ask in order of preference. It returns none if this VM
// should read the store.
func (s *Selector) Mirrors(now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alwaysReadStore {
		return nil
	}
	if before := s.countBefore(s.zoneOrder); before > 0 {
		return s.candidates(now, append([]Member{s.zoneOrder[(before-1)/fanout]}, s.zoneOrder[:before]...))
	}
	return s.candidates(now, s.regionOrder[:s.countBefore(s.regionOrder)])
}

// HasDisconnectedMirror reports whether a VM that may be a mirror of this one recently
// responded that it is disconnected.
func (s *Selector) HasDisconnectedMirror(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mirrors := s.zoneOrder[:s.countBefore(s.zoneOrder)]
	if len(mirrors) == 0 {
		mirrors = s.regionOrder[:s.countBefore(s.regionOrder)]
	}
	return slices.ContainsFunc(mirrors, func(m Member) bool { return now.Before(s.disconnectedUntil[m.VM]) })
}

// Others returns members of the region to ask if neither the mirrors nor the store can be
// reached: those that follow this VM in the order, then those that precede it, so that
// the members at the head of the order are not asked by all. They alternate between the
// availability zones, because a VM that is cut off from one VM of a zone is often cut off
// from all of them. A VM that is disconnected as a mirror may still have a path. The VMs
// preferred come first, those that did not answer last: a single lost answer must not leave
// this VM without any to ask. One of them is a VM that left the list lately, if any: it may
// have restarted since the list was read.
func (s *Selector) Others(now time.Time, preferred []ident.VMID) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.othersTurn++
	hasFailed := func(m Member) bool { return now.Before(s.failedUntil[m.VM]) }
	isWell := func(m Member) bool { return !hasFailed(m) }
	var out []Member
	add := func(members []Member, limit int, isWanted func(Member) bool) {
		start := 0
		if len(members) > maxCandidates {
			// Each call starts elsewhere, so that a VM with a path is found wherever it is.
			start = int(weight(s.self.VM+ident.VMID(strconv.Itoa(s.othersTurn))) % uint64(len(members)))
		}
		for i := 0; i < len(members) && len(out) < limit; i++ {
			if m := members[(start+i)%len(members)]; !slices.Contains(out, m) && isWanted(m) {
				out = append(out, m)
			}
		}
	}
	for _, vm := range preferred {
		isPreferred := func(m Member) bool { return m.VM == vm && isWell(m) }
		add(s.others, maxCandidates, isPreferred)
		add(s.departedOrder, maxCandidates, isPreferred)
	}
	if slices.ContainsFunc(s.departedOrder, isWell) {
		add(s.others, maxCandidates-1, isWell)
		add(s.departedOrder, min(len(out)+1, maxCandidates), isWell)
	}
	add(s.others, maxCandidates, isWell)
	add(s.others, maxCandidates, hasFailed)
	add(s.departedOrder, maxCandidates, hasFailed)
	return out
}

// alternateZones returns the members with the first one of each availability zone before
// the second ones, and so on. It keeps the order otherwise.
func alternateZones(members []Member) []Member {
	turns := make(map[ident.VMID]int, len(members))
	taken := map[ident.ZoneID]int{}
	for _, m := range members {
		turns[m.VM] = taken[m.Zone]
		taken[m.Zone]++
	}
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(turns[a.VM], turns[b.VM]) })
	return members
}

// maxCandidates limits the members that are asked one after the other.
const maxCandidates = 3

// candidates returns the first maxCandidates members that are not excluded, without
// duplicates. The lock must be held.
func (s *Selector) candidates(now time.Time, members []Member) []Member {
	var out []Member
	for _, m := range members {
		excluded := now.Before(s.failedUntil[m.VM]) || now.Before(s.disconnectedUntil[m.VM])
		if len(out) < maxCandidates && !excluded && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// ReadsStore reports whether this VM is the one that should read the store. The others
// read it only until they find a mirror that is connected.
func (s *Selector) ReadsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alwaysReadStore || (len(s.regionOrder) > 0 && s.regionOrder[0].VM == s.self.VM)
}

// scoutsPerZone is the number of VMs of an availability zone that call the store as soon
// as they have no connected mirror. The others of the zone then read through them.
const scoutsPerZone = 2

// IsScout reports whether this VM is one of its zone's first ones, which call the store
// as soon as no mirror is connected.
func (s *Selector) IsScout() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alwaysReadStore || s.countBefore(s.zoneOrder) < scoutsPerZone || s.countBefore(s.regionOrder) == 0
}

// Position returns how many VMs of the region precede this VM, and the number of VMs of
// the region.
func (s *Selector) Position() (before, vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countBefore(s.regionOrder), len(s.regionOrder)
}

// countBefore returns how many members of an order precede this VM, which may not be
// listed yet. Because VMs select only preceding members as mirrors, no two VMs read
// through each other, even if their lists differ. The lock must be held.
func (s *Selector) countBefore(order []Member) int {
	n, _ := slices.BinarySearchFunc(order, s.self, compareMembers)
	return n
}

// InOtherZones returns up to n VMs of other availability zones.
func (s *Selector) InOtherZones(n int) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Member
	// The iteration order of the map distributes the questions over the VMs.
	for _, m := range s.members {
		if m.Zone != s.self.Zone && m.Certificate != "" && len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// InOwnZone returns up to n other VMs of this VM's availability zone: the next ones in the
// order, so that the VMs of a zone choose different ones.
func (s *Selector) InOwnZone(n int) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.countBefore(s.zoneOrder)
	var out []Member
	for i := range s.zoneOrder {
		m := s.zoneOrder[(before+i)%len(s.zoneOrder)]
		if m.VM != s.self.VM && len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// accepts reports whether this VM may read through the VMs of a path: not through itself,
// and not through one that is disconnected, since the path then is out of date.
func (s *Selector) accepts(now time.Time, path []ident.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(path, func(vm ident.VMID) bool {
		return vm == s.self.VM || now.Before(s.disconnectedUntil[vm])
	})
}

// Exclude excludes a VM that did not answer until the given time.
func (s *Selector) Exclude(until time.Time, vm ident.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedUntil[vm] = until
}

// ExcludeDisconnected excludes a mirror that is disconnected, and all paths through it,
// until the given time.
func (s *Selector) ExcludeDisconnected(until time.Time, vm ident.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnectedUntil[vm] = until
}

// state describes the exclusions that have not ended.
func (s *Selector) state(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(timeLeft(now, s.failedUntil), timeLeft(now, s.disconnectedUntil))
}

// timeLeft returns the entries that lie after now, as the time until then.
func timeLeft(now time.Time, until map[ident.VMID]time.Time) map[ident.VMID]time.Duration {
	left := map[ident.VMID]time.Duration{}
	for vm, at := range until {
		if now.Before(at) {
			left[vm] = at.Sub(now)
		}
	}
	return left
}
