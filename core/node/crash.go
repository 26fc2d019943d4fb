package node

import (
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/replica"
)

// processOf returns the process of a replica that an attempt was sent to.
func processOf(a *attempt) poison.Process {
	return poison.Process{Service: a.svc.id, Replica: a.replica.ID, Incarnation: a.replica.Incarnation}
}

// partFingerprint returns the fingerprint of a part of a routed query. The parts of a
// gathering query have different ones, since each crashes the replicas of another shard.
func (q *query) partFingerprint(p *part) poison.Fingerprint {
	if q.arrival.Route.Gather && p.svc != nil {
		return poison.NewRoutedFingerprint(p.svc.id, q.arrival.Message)
	}
	return poison.NewRoutedFingerprint("", q.arrival.Message)
}

// markCrashingParts marks the parts of a routed query that are known to crash replicas.
func (c *Core) markCrashingParts(now ident.Instant, q *query) {
	if q.arrival.Message == nil || (c.poison.Len() == 0 && c.view.Poisoned.Len() == 0) {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		p.crashes = c.poisonTimeLeft(now, q.partFingerprint(p)) > 0
	}
}

// crashes reports whether any part of the query is known to crash replicas.
func (q *query) crashes() bool {
	for i := range q.parts {
		if q.parts[i].crashes {
			return true
		}
	}
	return false
}

// recordBroken records that a connection broke while a replica ran a routed query. Whether
// the query crashed the replica or only lost a reply is known once the replica is removed
// from the list or replies again.
func (c *Core) recordBroken(now ident.Instant, q *query, a *attempt) {
	if q.arrival.Message == nil {
		return
	}
	p := &q.parts[a.part]
	f := q.partFingerprint(p)
	p.crashes = p.crashes || c.poisonTimeLeft(now, f) > 0
	q.fingerprint = poison.NewRoutedFingerprint("", q.arrival.Message)
	c.recentLosses.Push(upstreamLoss{now, q.fingerprint, a.replica})
	if a.replica.Condition(now) != replica.Leaving && !c.massLoss(now, q) {
		c.losses.Record(now, processOf(a), f)
	}
}

// confirmCrashes reports the requests that ran on replicas that are no longer listed. It is
// called after the services were updated.
func (c *Core) confirmCrashes(now ident.Instant) {
	for p := range c.losses.Processes {
		switch r := c.listedReplica(p); {
		case r == nil:
			for _, f := range c.losses.End(now, p) {
				c.poison.RecordCrashes(now, f, 1)
				c.notify(News{Kind: Crash, Replica: p.Replica, Fingerprint: f, Crashes: 1})
			}
		case r.Condition(now) == replica.Leaving:
			c.losses.Clear(p)
		}
	}
}

// listedReplica returns the state of a process, or nil if it is not listed.
func (c *Core) listedReplica(p poison.Process) *replica.State {
	svc := c.services[p.Service]
	if svc == nil {
		return nil
	}
	for _, sh := range svc.shards {
		for _, r := range sh.Replicas {
			if r.ID == p.Replica && r.Incarnation == p.Incarnation {
				return r
			}
		}
	}
	return nil
}
