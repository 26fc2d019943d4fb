package control

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/roster"
)

// startProbeRound sends this period's probe. While there is no configuration it
// probes several VMs, so that a VM that starts while the platform is unreachable
// receives the configuration from its peers quickly.
func (c *Core) startProbeRound(now ident.Instant) {
	c.timers.Add(now.Add(ProbePeriod), timer{kind: probeTimer})
	c.probeRounds++
	if c.configuration.Version == 0 {
		for _, m := range c.roster.Sample(c.random, joinFanout, "") {
			c.probe(now, m, probe{})
		}
		return
	}
	if m, ok := c.roster.NextProbe(c.random); ok {
		c.probe(now, m, probe{})
	}
	if c.probeRounds%deadProbeRounds == 0 {
		if m, ok := c.roster.RandomDead(c.random); ok {
			c.send(now, m, &Message{Kind: Probe})
		}
	}
}

// probe sends a probe to m and starts its ack timer. p holds the requester, if any.
func (c *Core) probe(now ident.Instant, m roster.Member, p probe) {
	c.sequence++
	p.target, p.sequence = m.VM, c.sequence
	c.probes[p.sequence] = &p
	c.timers.Add(now.Add(ackTimeout), timer{kind: ackTimer, sequence: p.sequence})
	c.send(now, m, &Message{Kind: Probe, Sequence: p.sequence})
}

// handleAckTimeout handles a probe without an ack. The first timeout of an own
// probe asks other VMs to probe the target, the second one marks it as suspect. A
// probe made for another VM is dropped.
func (c *Core) handleAckTimeout(now ident.Instant, sequence uint64) {
	p := c.probes[sequence]
	if p == nil {
		return
	}
	if p.indirect || p.requester != "" {
		delete(c.probes, sequence)
		if p.requester == "" {
			c.roster.Suspect(now, p.target)
		}
		return
	}
	p.indirect = true
	c.timers.Add(now.Add(ackTimeout), timer{kind: ackTimer, sequence: sequence})
	for _, m := range c.roster.Sample(c.random, indirectProbes, p.target) {
		c.send(now, m, &Message{Kind: ProbeRequest, Sequence: sequence, Target: p.target})
	}
}

// Receive processes a message from another VM.
func (c *Core) Receive(now ident.Instant, m *Message) {
	if c.config.Peerless {
		c.mergeCrashNews(now, m)
		c.processChanges(now)
		return
	}
	c.recordVersion(now, m)
	c.merge(now, m)
	switch m.Kind {
	case Probe:
		c.sendAck(now, m)
	case Ack:
		c.handleAck(now, m)
	case ProbeRequest:
		if target, ok := c.roster.Member(m.Target); ok {
			c.probe(now, target, probe{requester: m.From, requesterSequence: m.Sequence})
		}
	case Push:
	}
	if m.Kind != Probe && m.Digest.Configuration != c.configuration.Version {
		c.reconcile(now, m)
	}
	c.processChanges(now)
}

// recordVersion updates the configuration version that the sender reports.
func (c *Core) recordVersion(now ident.Instant, m *Message) {
	v := c.versions[m.From]
	if m.Digest.Configuration > v.Version {
		v = PeerVersion{Version: m.Digest.Configuration, Since: now}
	}
	v.LastReceived = now
	c.versions[m.From] = v
}

// mergeCrashNews applies the news of crashing requests of a message. All else comes from
// the platform.
func (c *Core) mergeCrashNews(now ident.Instant, m *Message) {
	for _, item := range m.News {
		if item.Kind == news.Crash && item.Origin != c.config.Self.VM {
			c.addNews(now, item)
		}
	}
}

// merge applies the members, news and configuration changes of a message.
func (c *Core) merge(now ident.Instant, m *Message) {
	for _, member := range m.Members {
		c.roster.Merge(now, member)
	}
	for _, item := range m.News {
		if item.Origin != c.config.Self.VM {
			c.addNews(now, item)
		}
	}
	if m.Configuration != nil {
		c.adopt(now, *m.Configuration)
	}
	next := c.configuration
	for _, ch := range m.Changes {
		if ch.Version <= next.Version {
			continue
		}
		applied, err := next.Apply(ch)
		if err != nil {
			// Changes in between are missing. The sender detects this from this
			// VM's digest and sends them.
			break
		}
		next = applied
	}
	c.adopt(now, next)
}

// reconcile brings two differing configurations to the same version: it sends the
// changes that the other VM lacks, or only a digest, to which that VM replies with
// the changes that this one lacks.
func (c *Core) reconcile(now ident.Instant, m *Message) {
	if peer, ok := c.roster.Member(m.From); ok {
		c.sendSince(now, peer, &Message{Kind: Push}, m.Digest.Configuration)
	}
}

// sendAck answers a probe. The ack carries a chunk of the roster if the rosters
// differ, and the configuration changes that the sender of the probe lacks.
func (c *Core) sendAck(now ident.Instant, m *Message) {
	peer, ok := c.roster.Member(m.From)
	if !ok {
		return
	}
	ack := &Message{Kind: Ack, Sequence: m.Sequence}
	if m.Digest.Roster != c.roster.Hash() {
		ack.Members = c.nextRosterChunk(now)
	}
	c.sendSince(now, peer, ack, m.Digest.Configuration)
}

// handleAck ends a probe and forwards the ack if the probe was made for another VM.
// If the rosters differ, it sends a chunk of this VM's roster. Messages to a VM that
// is suspect or dead also carry its own entry, so that it can refute its state.
func (c *Core) handleAck(now ident.Instant, m *Message) {
	p := c.probes[m.Sequence]
	if p == nil || p.target != m.From {
		return
	}
	delete(c.probes, m.Sequence)
	if !c.joined {
		c.joined = true
		c.readyAt = min(c.readyAt, now.Add(readyDelay))
		c.timers.Add(c.readyAt, timer{kind: joinTimer})
	}
	if p.requester != "" {
		if peer, ok := c.roster.Member(p.requester); ok {
			c.send(now, peer, &Message{Kind: Ack, Sequence: p.requesterSequence, Target: m.From})
		}
	}
	if m.Digest.Roster != c.roster.Hash() {
		if peer, ok := c.roster.Member(m.From); ok {
			c.send(now, peer, &Message{Kind: Push, Members: c.nextRosterChunk(now)})
		}
	}
}

// nextRosterChunk returns the next chunk in a round robin over the roster. If the
// roster has at least chunkSize members, it returns nil until nextChunkAt, which
// limits the cost of synchronising rosters.
func (c *Core) nextRosterChunk(now ident.Instant) []roster.Member {
	if now < c.nextChunkAt {
		return nil
	}
	members := c.roster.Members()
	if chunks := len(members) / chunkSize; chunks > 0 {
		c.nextChunkAt = now.Add(min(time.Duration(chunks)*chunkInterval, maxChunkInterval))
	}
	out := make([]roster.Member, 0, chunkSize)
	for range min(chunkSize, len(members)) {
		c.chunkPosition = (c.chunkPosition + 1) % len(members)
		out = append(out, members[c.chunkPosition])
	}
	return out
}

// sendSince sends a message with the configuration changes after version known, or
// with the whole configuration if the history does not go back that far.
func (c *Core) sendSince(now ident.Instant, to roster.Member, m *Message, known ident.Version) {
	if known < c.configuration.Version {
		if changes, ok := c.configuration.Since(known); ok {
			m.Changes = changes
		} else {
			whole := c.configuration
			m.Configuration = &whole
		}
	}
	c.send(now, to, m)
}

// send queues a message and adds the sender, the digest, and queued members and
// news. A Push without configuration changes gets the latest change if the receiver
// has only reported older versions.
func (c *Core) send(_ ident.Instant, to roster.Member, m *Message) {
	m.From = c.config.Self.VM
	if c.config.Peerless {
		m.News = c.newsOutbox.Take(maxNewsPerMessage)
		c.actions = append(c.actions, Action{Kind: Send, To: to.VM, Address: to.Address, Message: m})
		return
	}
	m.Digest = Digest{c.configuration.Version, c.roster.Hash()}
	if m.Kind == Push && m.Changes == nil && m.Configuration == nil {
		if known := c.versions[to.VM].Version; known < c.configuration.Version {
			m.Changes, _ = c.configuration.Since(max(known, c.configuration.Version-1))
		}
	}
	m.Members = append(m.Members, c.membersOutbox.Take(maxMembersPerMessage)...)
	if to.State == roster.Suspect || to.State == roster.Dead {
		m.Members = append(m.Members, to)
	}
	m.News = c.newsOutbox.Take(maxNewsPerMessage)
	c.actions = append(c.actions, Action{Kind: Send, To: to.VM, Address: to.Address, Message: m})
}
