package control

import (
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/roster"
)

// A Status is a copy of the control state for operators.
type Status struct {
	Self          roster.Member
	Configuration config.Configuration
	InForceSince  ident.Instant
	Members       []roster.Member
	// Versions holds the highest configuration version that each other VM has
	// reported.
	Versions map[ident.VMID]PeerVersion
	// Senders is the number of VMs that may be sending to upstreams.
	Senders  int
	Watching bool
	Platform PlatformState
	News     []news.Item
}

// Status returns the current Status.
func (c *Core) Status() Status {
	s := Status{
		Self: c.roster.Self(), Configuration: c.configuration, InForceSince: c.inForceSince,
		Members: c.roster.Members(), Versions: map[ident.VMID]PeerVersion{},
		Senders: len(c.roster.Senders()), Watching: c.Watches(), Platform: c.platform,
	}
	for vm, v := range c.versions {
		s.Versions[vm] = v
	}
	for item := range c.news.All {
		s.News = append(s.News, item)
	}
	return s
}
