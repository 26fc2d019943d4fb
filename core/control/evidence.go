package control

import (
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/node"
)

// Report processes an observation from this VM's own traffic.
func (c *Core) Report(now ident.Instant, n node.News) {
	if n.Kind == node.Rollout {
		c.rollouts.AddEvidence(*n.Rollout)
		return
	}
	if c.config.Discovers && n.Kind != node.Crash {
		// Discovery reports the condition of replicas; each VM observes the rest for
		// itself.
		return
	}
	kind := news.Kind(n.Kind)
	subject := string(n.Replica)
	if n.Kind == node.Crash {
		subject = fingerprintSubject(n.Fingerprint)
	}
	c.originateNews(now, kind, subject, n.Crashes)
	c.processChanges(now)
}

// originateNews adds an item with this VM as its origin. The counts of crashes of
// the same request add up.
func (c *Core) originateNews(now ident.Instant, kind news.Kind, subject string, count int) {
	key := news.Key{Kind: kind, Subject: subject, Origin: c.config.Self.VM}
	item := news.Item{Key: key, Sequence: uint64(now), Expires: now.Add(kind.Lifetime()), Count: count}
	if old, ok := c.news.Get(key); ok && kind == news.Crash {
		item.Count += old.Count
	}
	c.addNews(now, item)
}

// addNews adds an item and queues it for sending if it is new.
func (c *Core) addNews(now ident.Instant, item news.Item) {
	if !c.news.Add(now, item) {
		return
	}
	c.viewStale = true
	if c.config.Peerless && item.Kind != news.Crash {
		return
	}
	c.newsOutbox.Add(item.Key, item, transmitLimit)
	c.schedulePush(now)
}
