package mirror_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/serve/mirror"
)

// TestVMsThatLeftTheList checks for how long a VM that is no longer listed is asked, that it
// does not displace all others, and that it is nothing but asked.
func TestVMsThatLeftTheList(t *testing.T) {
	zones := []ident.ZoneID{"z0", "z1"}
	var members []mirror.Member
	for i := range 6 {
		members = append(members, mirror.Member{
			VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: zones[i%2], Certificate: fmt.Sprint("digest-", i),
		})
	}
	left, now := members[5], time.Now()
	s := mirror.NewSelector(members[0], zones)
	s.SetMembers(members)
	includes := func(others []mirror.Member) bool { return slices.Contains(others, left) }
	for list := range 6 {
		s.SetMembers(members[:5])
		for range 20 {
			others := s.Others(now, nil)
			if len(others) != 3 || !includes(others) {
				t.Fatalf("list %d without it: %v are asked", list, others)
			}
			if s.Exclude(now.Add(time.Second), left.VM); includes(s.Others(now, nil)) {
				t.Errorf("list %d without it: asked again although it failed", list)
			}
			s.Exclude(now, left.VM)
		}
		if digest, ok := s.Certificate(left.VM); !ok || digest != left.Certificate {
			t.Errorf("list %d without it: certificate %q", list, digest)
		}
		if includes(s.InOtherZones(6)) || includes(s.Mirrors(now)) {
			t.Errorf("list %d without it: it is in use", list)
		}
	}
	s.SetMembers(members[:5])
	if _, ok := s.Certificate(left.VM); ok || includes(s.Others(now, nil)) {
		t.Error("not forgotten")
	}
	s.SetMembers(members)
	s.SetMembers(members[:5])
	s.SetMembers(members)
	if digest, ok := s.Certificate(left.VM); !ok || digest != left.Certificate {
		t.Errorf("listed again: certificate %q", digest)
	}
}

// TestEachVMThatLeftTheListIsAsked guards against a VM with a path that is never asked, because
// another one left the list too and takes its place.
func TestEachVMThatLeftTheListIsAsked(t *testing.T) {
	zones := []ident.ZoneID{"z0"}
	var members []mirror.Member
	for i := range 4 {
		members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: "z0", Certificate: "c"})
	}
	for listed := 1; listed < len(members); listed++ {
		s := mirror.NewSelector(members[0], zones)
		s.SetMembers(members)
		s.SetMembers(members[:listed])
		asked := map[ident.VMID]bool{}
		for range 50 {
			for _, m := range s.Others(time.Now(), nil) {
				asked[m.VM] = true
			}
		}
		if len(asked) != len(members)-1 {
			t.Errorf("%d of four VMs are listed: only %v are asked", listed, asked)
		}
	}
}
