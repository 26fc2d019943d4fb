package mirror_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

// A storeOutage is a span in which the store does not serve a VM: it refuses its calls, or
// does not respond to them.
type storeOutage struct {
	span
	isSilent bool
}

// callStore returns the error of a call to the store, or nil if the store serves the VM.
func (v *seriesVM) callStore(ctx context.Context) error {
	for _, o := range v.outages {
		if !o.includes(v.series.now()) {
			continue
		}
		if o.isSilent {
			<-ctx.Done()
		}
		return errDown
	}
	return ctx.Err()
}

// storeOutageBegins returns a channel that receives when the next outage begins; nil if none
// does.
func (v *seriesVM) storeOutageBegins() <-chan time.Time {
	for _, o := range v.outages {
		if left := o.from - v.series.now(); left > 0 {
			return time.After(left)
		}
	}
	return nil
}

// isDead reports whether the connection of a watch that began at a time has died since.
func (v *seriesVM) isDead(began time.Duration) bool {
	for _, at := range v.deadAt {
		if began <= at && at <= v.series.now() {
			return true
		}
	}
	return false
}

// smallApplyWithin is the time in which a change must be in force at a deployment of four
// VMs, all of which read the store.
const smallApplyWithin = 3 * time.Second

// playSmall plays changes while the store does not serve some of four VMs, and returns the
// greatest lag of a VM. Each VM has two kinds, so that checks and probes alternate.
func playSmall(t *testing.T, disturb func(vms []*seriesVM), changes []time.Duration) (greatest time.Duration) {
	inVirtualTime(t, func(t *testing.T) {
		s := &series{began: time.Now(), version: 1, vms: map[ident.VMID]*seriesVM{}, changedAt: map[platform.StoreVersion]time.Duration{}}
		zones := []ident.ZoneID{"z0", "z1", "z2"}
		var members []mirror.Member
		var vms []*seriesVM
		for i := range 4 {
			m := mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: zones[i%len(zones)], Certificate: "c"}
			members = append(members, m)
			v := &seriesVM{series: s, member: m, readAt: map[platform.StoreVersion]time.Duration{}}
			s.vms[m.VM], vms = v, append(vms, v)
		}
		disturb(vms)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, 2*len(vms))
		remaining := slices.DeleteFunc(slices.Clone(members), func(m mirror.Member) bool { return s.vms[m.VM].hasLeft })
		for _, v := range vms {
			selector := mirror.NewSelector(v.member, zones)
			selector.AlwaysReadStore()
			selector.SetMembers(members)
			selector.SetMembers(remaining)
			prober := &watch.Prober{}
			source := &watch.Guarded[string]{Probeable: v, Prober: prober, CheckInterval: smallApplyWithin / 4}
			v.reader = mirror.NewReader[string](source, stringCodec, selector, v)
			v.reader.MaxAge = smallApplyWithin * 3 / 10
			source.Confirmed = v.reader.Confirm
			go func() { prober.Run(ctx); ended <- struct{}{} }()
		}
		for _, v := range vms {
			go func() {
				clock.Sleep(ctx, v.startsAt)
				v.follow(ctx)
				ended <- struct{}{}
			}()
		}
		for _, at := range changes {
			time.Sleep(at - s.now())
			s.change()
		}
		time.Sleep(5 * time.Second)
		cancel()
		for range 2 * len(vms) {
			<-ended
		}
		for _, v := range vms {
			for version := range s.changedAt {
				greatest = max(greatest, v.lag(version, s.now()))
			}
		}
	})
	return greatest
}

// changesDuring returns changes at random times within a span.
func changesDuring(random *rand.Rand, s span) []time.Duration {
	var out []time.Duration
	for at := s.from; at < s.to; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(time.Second)) {
		out = append(out, at)
	}
	return out
}

// TestRefusedVMsReadChangesThroughOthers guards against routes that stay in force for too
// long in a VM that the store refuses, or does not answer, while it serves another one: the
// VM waits for the store before it asks others, and so do those that it asks. Each VM has a
// change within half of the time in which it must be in force.
func TestRefusedVMsReadChangesThroughOthers(t *testing.T) {
	for _, isSilent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent: ", isSilent), func(t *testing.T) {
			var greatest time.Duration
			for seed := range seriesSeeds() {
				random := rand.New(rand.NewPCG(seed, 2))
				refused := span{5 * time.Second, 17 * time.Second}
				served := random.IntN(4)
				lag := playSmall(t, func(vms []*seriesVM) {
					for i, v := range vms {
						if i != served {
							v.outages = []storeOutage{{refused, isSilent}}
						}
					}
				}, changesDuring(random, refused))
				greatest = max(greatest, lag)
			}
			t.Logf("the greatest lag: %v", greatest)
			if greatest > smallApplyWithin/2 {
				t.Errorf("a VM had a change after %v, allowed: %v", greatest, smallApplyWithin/2)
			}
		})
	}
}

// TestTheServedVMChanges guards against waits for a VM that the store no longer serves, while
// it serves one that it refused before.
func TestTheServedVMChanges(t *testing.T) {
	var greatest time.Duration
	for seed := range seriesSeeds() {
		random := rand.New(rand.NewPCG(seed, 3))
		at := 5 * time.Second
		outages := make([][]storeOutage, 4)
		for range 5 {
			lasts := time.Duration((1 + 4*random.Float64()) * float64(time.Second))
			served := random.IntN(4)
			for i := range outages {
				if i != served {
					outages[i] = append(outages[i], storeOutage{span{at, at + lasts}, random.IntN(2) == 0})
				}
			}
			at += lasts
		}
		lag := playSmall(t, func(vms []*seriesVM) {
			for i, v := range vms {
				v.outages = outages[i]
			}
		}, changesDuring(random, span{5 * time.Second, at}))
		greatest = max(greatest, lag)
	}
	t.Logf("the greatest lag: %v", greatest)
	if greatest > smallApplyWithin/2 {
		t.Errorf("a VM had a change after %v, allowed: %v", greatest, smallApplyWithin/2)
	}
}

// TestTheOnlyServedVMHasJustStarted guards against waits for the store by VMs that it does
// not answer, before they list the objects of the only VM that it serves: that one has just
// started and holds no history.
func TestTheOnlyServedVMHasJustStarted(t *testing.T) {
	var greatest time.Duration
	for seed := range seriesSeeds() {
		random := rand.New(rand.NewPCG(seed, 5))
		at := 5*time.Second + time.Duration(random.Int64N(int64(time.Second)))
		greatest = max(greatest, playSmall(t, func(vms []*seriesVM) {
			for i, v := range vms {
				if i == 0 {
					v.startsAt = at
				} else {
					v.outages = []storeOutage{{span{at, time.Hour}, true}}
				}
			}
		}, []time.Duration{at - time.Duration(random.Int64N(int64(time.Second/2))) + time.Second/2, at + time.Second}))
	}
	t.Logf("the greatest lag: %v", greatest)
	if greatest > smallApplyWithin/2 {
		t.Errorf("a VM had a change after %v, allowed: %v", greatest, smallApplyWithin/2)
	}
}

// TestTheOnlyServedVMLeftTheList guards against VMs that the store refuses and that know no VM
// with a path: the only one that it serves was stopped and started again, and their last list of
// VMs is from the time in between.
func TestTheOnlyServedVMLeftTheList(t *testing.T) {
	var greatest time.Duration
	for seed := range seriesSeeds() {
		random := rand.New(rand.NewPCG(seed, 6))
		refused := span{5 * time.Second, 17 * time.Second}
		served := random.IntN(4)
		greatest = max(greatest, playSmall(t, func(vms []*seriesVM) {
			for i, v := range vms {
				v.hasLeft = i == served
				if i != served {
					v.outages = []storeOutage{{refused, random.IntN(2) == 0}}
				}
			}
		}, changesDuring(random, refused)))
	}
	t.Logf("the greatest lag: %v", greatest)
	if greatest > smallApplyWithin/2 {
		t.Errorf("a VM had a change after %v, allowed: %v", greatest, smallApplyWithin/2)
	}
}

// TestChangesAreReadOnceAWatchIsDead guards against a watch whose connection is dead while
// probes on other connections succeed, which confirmed objects that were out of date.
func TestChangesAreReadOnceAWatchIsDead(t *testing.T) {
	var greatest time.Duration
	for seed := range seriesSeeds() {
		random := rand.New(rand.NewPCG(seed, 4))
		at := 5*time.Second + time.Duration(random.Int64N(int64(time.Second)))
		greatest = max(greatest, playSmall(t, func(vms []*seriesVM) {
			for _, v := range vms {
				v.deadAt = []time.Duration{at}
			}
		}, []time.Duration{at + time.Duration(random.Int64N(int64(time.Second)))}))
	}
	t.Logf("the greatest lag: %v", greatest)
	if greatest > smallApplyWithin/2 {
		t.Errorf("a VM had a change after %v, allowed: %v", greatest, smallApplyWithin/2)
	}
}
