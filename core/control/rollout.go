package control

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/view"
)

// ordersWait is the longest time for which a starting VM waits for the list of orders.
const ordersWait = 10 * time.Second

// startRollouts prepares the state of orders for a VM that starts at now.
func (c *Core) startRollouts(now ident.Instant) {
	c.rolloutsNext = ident.Never
	c.rollouts = rollout.Manager{
		Self: c.config.Self.VM, Incarnation: c.config.Self.Incarnation, Bounds: c.config.Rollouts,
	}
	if c.config.Rollouts.Set() {
		c.ordersUntil = now.Add(ordersWait)
		c.timers.Add(c.ordersUntil, timer{kind: joinTimer})
	}
}

// ordersKnown reports whether the VM knows which versions it may send to.
func (c *Core) ordersKnown(now ident.Instant) bool {
	return !c.config.Rollouts.Set() || c.rollouts.Listed() || now >= c.ordersUntil
}

// OrdersRead replaces the orders that move services to other versions.
func (c *Core) OrdersRead(now ident.Instant, orders []rollout.Order) {
	c.rollouts.SetOrders(now, orders, len(c.roster.Senders()))
	c.viewStale = true
	c.processChanges(now)
}

// applyRollouts adds the plans of the orders to the services of a view, and takes the
// replicas of versions that must get nothing out of service.
func (c *Core) applyRollouts(now ident.Instant, services []view.Service) {
	c.rolloutsNext = ident.Never
	if !c.config.Rollouts.Set() || !c.rollouts.Listed() {
		return
	}
	for i := range services {
		s := &services[i]
		list := make([]rollout.Listed, len(s.Replicas))
		for j := range s.Replicas {
			r := &s.Replicas[j]
			list[j] = rollout.Listed{Software: r.Software, Leaving: r.Leaving || r.Out, Slots: r.Slots, ColdUntil: r.ColdUntil}
		}
		plan, withheld, next := c.rollouts.Apply(now, s.ID, list)
		s.Rollout = plan
		c.rolloutsNext = min(c.rolloutsNext, next)
		for j := range s.Replicas {
			r := &s.Replicas[j]
			r.Out = r.Out || withheld(r.Software)
		}
	}
}

// ranking orders the VMs for the orders of a service.
type ranking struct{ core *Core }

func rolloutSubject(s ident.ServiceID) string { return "rollout." + string(s) }

func (r ranking) First(s ident.ServiceID, n int, skip func(ident.VMID) bool) []ident.VMID {
	return r.core.rendezvous.First(rolloutSubject(s), n, skip)
}

func (r ranking) Rank(s ident.ServiceID) int { return r.core.rendezvous.Rank(rolloutSubject(s)) }

func (r ranking) Len() int { return r.core.rendezvous.Len() }

func (c *Core) ranking() ranking {
	c.updateRanks()
	return ranking{c}
}

// RolloutsActive reports whether an order needs RolloutReports and RolloutWrites.
func (c *Core) RolloutsActive() bool { return c.rollouts.Active() }

// RolloutReports returns the reports to send to other VMs.
func (c *Core) RolloutReports(now ident.Instant) []rollout.Outgoing {
	out := c.rollouts.Reports(now, c.ranking())
	c.viewStale = c.viewStale || c.rollouts.Changed()
	c.processChanges(now)
	return out
}

// RolloutReported processes the reports of another VM and returns the answers.
func (c *Core) RolloutReported(now ident.Instant, reports []rollout.Report) []rollout.Guidance {
	answers := make([]rollout.Guidance, 0, len(reports))
	for i := range reports {
		answers = append(answers, c.rollouts.Receive(now, &reports[i], c.ranking()))
	}
	return answers
}

// RolloutAnswered processes the answers of a VM to this VM's reports; ok is false if it did
// not answer.
func (c *Core) RolloutAnswered(now ident.Instant, from ident.VMID, answers []rollout.Guidance, ok bool) {
	if !ok {
		c.rollouts.Failed(now, from)
		return
	}
	c.rollouts.Guide(now, from, answers, c.ranking())
	c.viewStale = c.viewStale || c.rollouts.Changed()
	c.processChanges(now)
}

// RolloutWrites returns the stages that this VM should write to the store.
func (c *Core) RolloutWrites(now ident.Instant) []rollout.Write {
	return c.rollouts.Writes(now, c.ranking())
}

// RolloutEvents returns the changes of orders since the last call.
func (c *Core) RolloutEvents() []rollout.Event { return c.rollouts.Events() }

// RolloutStatuses returns the state of all orders.
func (c *Core) RolloutStatuses(now ident.Instant) []rollout.Status { return c.rollouts.Statuses(now) }
