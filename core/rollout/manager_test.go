package rollout_test

import (
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/rollout"
)

var (
	oldReplica = rollout.Listed{Software: "v1", Slots: 1}
	newReplica = rollout.Listed{Software: "v2", Slots: 1}
)

func rolledBackOrder() rollout.Order {
	return rollout.Order{
		Service: service, ID: rollout.OrderID{Number: 7, Target: "v2"}, Duration: time.Minute, Stored: rollout.RolledBack,
	}
}

// TestRolledBackVersionStaysOut answers replicas of a rolled back version that go and come
// back, and a VM that restarts after the roll-back, before they are listed.
func TestRolledBackVersionStaysOut(t *testing.T) {
	now := ident.Instant(time.Hour)
	m := &rollout.Manager{Self: "a", Incarnation: 2, Bounds: bounds}
	m.SetOrders(now, []rollout.Order{rolledBackOrder()}, 1)
	for _, list := range [][]rollout.Listed{{oldReplica}, {oldReplica, newReplica}, {oldReplica}, {oldReplica, newReplica}} {
		for range 3 {
			_, withheld, _ := m.Apply(now, service, list)
			if !withheld("v2") {
				t.Fatalf("with %v, the rolled back version gets requests", list)
			}
			now = now.Add(12 * time.Second)
		}
	}
}

// TestLostTargetIsNotCompleted answers the loss of most replicas of the target at Takeover:
// a completion would stop the old ones at once.
func TestLostTargetIsNotCompleted(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 9, version{})
		lost := false
		w.run(w.order.Duration, func(time.Duration) {
			if w.vms[0].plan != nil && w.vms[0].plan.Step == rollout.Takeover && !lost {
				lost = true
				for i := 6; i < 11; i++ {
					w.replicas[i].lost = true
				}
			}
		})
		if lost && w.stored == rollout.Completed {
			t.Errorf("seed %d: completed with one of six replicas of the target left", seed)
		}
	}
}

// TestRestartedVMGetsNoAdvance answers a VM that restarts at Most: what it may send beyond
// its share is not computed as if the order had just begun.
func TestRestartedVMGetsNoAdvance(t *testing.T) {
	now := ident.Instant(time.Hour)
	m := &rollout.Manager{Self: "a", Incarnation: 2, Bounds: bounds}
	o := rollout.Order{Service: service, ID: rollout.OrderID{Number: 7, Target: "v2"}, Duration: time.Minute, Stored: rollout.InProgress}
	m.SetOrders(now, []rollout.Order{o}, 2)
	now = now.Add(time.Second)
	m.Guide(now, "b", []rollout.Guidance{{Service: service, Order: o.ID, Stage: rollout.InProgress, Step: rollout.Most}}, firstOf("b"))
	plan, _, _ := m.Apply(now, service, []rollout.Listed{oldReplica, newReplica})
	if plan == nil || plan.Step != rollout.Most || plan.Advance != 0 {
		t.Errorf("found plan %+v, expected Most without an advance", plan)
	}
}

// TestStepsDoNotFall answers a judge that took over and has not received yet how far the
// order is.
func TestStepsDoNotFall(t *testing.T) {
	now := ident.Instant(time.Hour)
	m := &rollout.Manager{Self: "a", Incarnation: 2, Bounds: bounds}
	o := rollout.Order{Service: service, ID: rollout.OrderID{Number: 7, Target: "v2"}, Duration: time.Minute, Stored: rollout.InProgress}
	m.SetOrders(now, []rollout.Order{o}, 2)
	for _, step := range []rollout.Step{rollout.Takeover, rollout.Most} {
		m.Guide(now, "b", []rollout.Guidance{{Service: service, Order: o.ID, Stage: rollout.InProgress, Step: step}}, firstOf("b"))
	}
	plan, _, _ := m.Apply(now, service, []rollout.Listed{oldReplica, newReplica})
	if plan.Step != rollout.Takeover {
		t.Errorf("found step %v, expected %v", plan.Step, rollout.Takeover)
	}
}

// TestRollBackReplacesUnstoredCompletion answers two judges with different verdicts while
// the store is silent.
func TestRollBackReplacesUnstoredCompletion(t *testing.T) {
	now := ident.Instant(time.Hour)
	m := &rollout.Manager{Self: "a", Incarnation: 2, Bounds: bounds}
	o := rollout.Order{Service: service, ID: rollout.OrderID{Number: 7, Target: "v2"}, Duration: time.Minute, Stored: rollout.InProgress}
	m.SetOrders(now, []rollout.Order{o}, 2)
	for _, stage := range []rollout.Stage{rollout.Completed, rollout.RolledBack, rollout.Completed} {
		m.Guide(now, "b", []rollout.Guidance{{Service: service, Order: o.ID, Stage: stage}}, firstOf("b"))
	}
	if got := m.Statuses(now)[0].Stage; got != rollout.RolledBack {
		t.Errorf("found stage %v, expected %v", got, rollout.RolledBack)
	}
}

// firstOf is a ranking in which one VM judges.
type firstOf ident.VMID

func (f firstOf) First(ident.ServiceID, int, func(ident.VMID) bool) []ident.VMID {
	return []ident.VMID{ident.VMID(f)}
}
func (firstOf) Rank(ident.ServiceID) int { return 1 }
func (firstOf) Len() int                 { return 2 }
