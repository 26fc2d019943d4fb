package mirror_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

// A cut separates a VM, and the others of its availability zone, from the store and from
// the other zones. The zone then holds version 1 and the store version 2. A VM of the zone
// answers that it is disconnected, also after the cut: only the store helps.
type cut struct {
	zone ident.ZoneID
	// begun and ended are set when the cut begins and ends.
	begun, ended atomic.Bool
	// beganAt is when the cut began. It is set before begun.
	beganAt time.Time
	// hangs makes VMs of other zones hang; otherwise they are refused at once.
	hangs bool
	// sparesStore keeps the store reachable, so that only the VMs that this one reads
	// through are cut off. They notice it after notice.
	sparesStore bool
	notice      time.Duration
}

func (c *cut) respond(ctx context.Context) error {
	if c.begun.Load() && !c.ended.Load() && !c.sparesStore {
		<-ctx.Done()
		return &platform.Error{Op: "read", Kind: platform.Unreachable, Err: ctx.Err()}
	}
	return nil
}

func (c *cut) Kind() string { return "things" }

func (c *cut) Look(ctx context.Context, _ platform.StoreVersion) (bool, error) {
	return false, c.respond(ctx)
}

func (c *cut) List(ctx context.Context) (platform.Listing[string], error) {
	return platform.Listing[string]{Version: 2}, c.respond(ctx)
}

func (c *cut) Changes(ctx context.Context, after platform.StoreVersion, _ time.Duration) ([]platform.Change[string], platform.StoreVersion, error) {
	if err := c.respond(ctx); err != nil {
		return nil, after, err
	}
	return []platform.Change[string]{{Name: "a", Value: "2"}}, 2, nil
}

// Ask is the transport of the VM.
func (c *cut) Ask(ctx context.Context, to mirror.Member, q mirror.Question) (mirror.Answer[[]byte], error) {
	switch {
	case to.Zone == c.zone && !c.begun.Load():
		time.Sleep(q.Wait)
		return mirror.Answer[[]byte]{Outcome: mirror.OK, Version: 1}, nil
	case to.Zone == c.zone && time.Since(c.beganAt) < c.notice:
		confirmed := -time.Since(c.beganAt)
		time.Sleep(min(q.Wait, c.notice-time.Since(c.beganAt)))
		return mirror.Answer[[]byte]{Outcome: mirror.OK, Version: 1, Confirmed: confirmed}, nil
	case to.Zone == c.zone:
		return mirror.Answer[[]byte]{Outcome: mirror.Disconnected}, nil
	case c.hangs:
		<-ctx.Done()
	}
	return mirror.Answer[[]byte]{}, errDown
}

// regain returns the time from the end of a cut until the last VM of a zone has the change
// that was made in the meantime. If the cut spares the store, it returns the time from its
// beginning, when the change was made.
func regain(t *testing.T, c *cut, lasts time.Duration) (took time.Duration) {
	inVirtualTime(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		zones := []ident.ZoneID{"z0", "z1", "z2", "z3"}
		var members []mirror.Member
		for i := range 140 {
			members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: zones[i%len(zones)], Certificate: "c"})
		}
		last := members[0]
		for _, m := range members {
			if comesBefore(last, m) {
				last = m
			}
		}
		c.zone = last.Zone
		selector := mirror.NewSelector(last, zones)
		selector.SetMembers(members)
		prober := &watch.Prober{}
		ended := make(chan struct{}, 2)
		go func() { prober.Run(ctx); ended <- struct{}{} }()
		source := watch.Guarded[string]{Probeable: c, Prober: prober}
		reader := mirror.NewReader[string](source, stringCodec, selector, c)
		reader.MaxAge = applyWithin * 3 / 10
		changed := make(chan struct{}, 1)
		go func() {
			watch.Follow(ctx, reader, watch.Handler[string]{
				Listed: func(context.Context, []platform.Change[string]) {},
				Changed: func(_ context.Context, changes []platform.Change[string]) {
					if len(changes) > 0 {
						changed <- struct{}{}
						cancel()
					}
				},
				Failed: func(context.Context, string, error) {},
			})
			ended <- struct{}{}
		}()
		time.Sleep(3 * time.Second)
		c.beganAt = time.Now()
		c.begun.Store(true)
		time.Sleep(lasts)
		c.ended.Store(true)
		since := time.Now()
		if c.sparesStore {
			since = c.beganAt
		}
		<-changed
		took = time.Since(since)
		<-ended
		<-ended
	})
	return took
}

// A regained is the longest time from the end of a cut until a change is read, over cuts of
// many lengths, and the length of the cut after which it was that long.
type regained struct{ longest, cutLasted time.Duration }

// regains holds the results of longestRegain, which two tests compare with bounds.
var regains = map[bool]regained{}

func longestRegain(t *testing.T, hangs bool) (longest, cutLasted time.Duration) {
	if r, ok := regains[hangs]; ok {
		return r.longest, r.cutLasted
	}
	for lasts := 2 * time.Second; lasts < 12*time.Second; lasts += 25 * time.Millisecond {
		if took := regain(t, &cut{hangs: hangs}, lasts); took > longest {
			longest, cutLasted = took, lasts
		}
	}
	t.Logf("the change was read at most %v after a cut", longest)
	regains[hangs] = regained{longest, cutLasted}
	return longest, cutLasted
}

// TestChangesAreReadSoonAfterACut guards against routes that stay in force for too long
// after a cut: a VM without a path to the store must read a change within the time in which
// it has to be in force, whenever the cut ends.
func TestChangesAreReadSoonAfterACut(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprint("other zones hang: ", hangs), func(t *testing.T) {
			longest, cutLasted := longestRegain(t, hangs)
			if longest > applyWithin {
				t.Errorf("the change was read %v after a cut of %v, allowed: %v", longest, cutLasted, applyWithin)
			}
		})
	}
}

// TestHalfOfTheBoundAfterACut guards against waits after a cut that leave no margin for
// processor time and bandwidth: half of the time in which a change has to be in force.
func TestHalfOfTheBoundAfterACut(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		longest, cutLasted := longestRegain(t, hangs)
		if longest > applyWithin/2 {
			t.Errorf("other zones hang: %v: the change was read %v after a cut of %v, allowed: %v", hangs, longest, cutLasted, applyWithin/2)
		}
	}
}

// TestChangesAreReadWhileMirrorsAreCutOff guards against routes that stay in force for too
// long in a VM that reaches the store, because it waits for other VMs to read it.
func TestChangesAreReadWhileMirrorsAreCutOff(t *testing.T) {
	// A mirror two hops away is silent for 1.5 s before the next one notices it, and each
	// hop has 0.3 s to find another path.
	const notice = 1500*time.Millisecond + 2*300*time.Millisecond
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprint("other zones hang: ", hangs), func(t *testing.T) {
			var longest time.Duration
			for range 100 {
				longest = max(longest, regain(t, &cut{hangs: hangs, sparesStore: true, notice: notice}, 0))
			}
			t.Logf("the change was read at most %v after it was made", longest)
			if longest > applyWithin/2 {
				t.Errorf("the change was read %v after it was made, allowed: %v", longest, applyWithin/2)
			}
		})
	}
}
