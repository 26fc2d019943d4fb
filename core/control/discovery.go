package control

import (
	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/retry"
)

// RoutesRead processes the routes that were read from the store and reports whether
// they are newer than those in force.
func (c *Core) RoutesRead(now ident.Instant, next catalogue.Configuration) bool {
	newer := c.catalogue.Configure(next)
	c.viewStale = c.viewStale || newer
	c.processChanges(now)
	return newer
}

// ReplicasListed processes a complete list of replicas.
func (c *Core) ReplicasListed(now ident.Instant, list []catalogue.Replica) {
	c.catalogue.ReplaceAll(now, list)
	c.viewStale = true
	c.processChanges(now)
}

// ReplicasChanged applies changes of replica entries in the given order.
func (c *Core) ReplicasChanged(now ident.Instant, changes []catalogue.Change) {
	c.catalogue.Apply(now, changes)
	c.viewStale = c.viewStale || len(changes) > 0
	c.processChanges(now)
}

// ReplicasFailed records that the list of replicas could not be read.
func (c *Core) ReplicasFailed() { c.catalogue.MarkUnavailable() }

// StoreRestored records that the store came back from a copy.
func (c *Core) StoreRestored(now ident.Instant) { c.catalogue.MarkRestored(now) }

// ZonesOutRead sets the availability zones whose replicas receive no requests.
func (c *Core) ZonesOutRead(now ident.Instant, zones []ident.ZoneID) {
	c.catalogue.SetZonesOut(now, zones)
	c.viewStale = true
	c.processChanges(now)
}

// SetQuotaLimits replaces the limits of the extra attempts.
func (c *Core) SetQuotaLimits(now ident.Instant, limits retry.QuotaLimits) {
	c.viewStale = c.viewStale || limits != c.config.QuotaLimits
	c.config.QuotaLimits = limits
	c.processChanges(now)
}

// RoutesVersion returns the version of the routes in force, or 0 without routes.
func (c *Core) RoutesVersion() ident.RoutesVersion { return c.catalogue.Version() }
