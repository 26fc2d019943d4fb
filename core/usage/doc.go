// Package usage enforces the usage caps of tenants over all VMs together.
//
// A cap is a rate and a burst. Of n VMs, each owns 1/n of both as its share, which needs
// no message and no agreement, so that the shares sum to the cap whichever VMs reach each
// other. A VM lends its share of a tenant's cap to the tenant's grantor, the first VM that
// answers in the tenant's rendezvous order, for the time of a lease. The grantor collects
// the shares in a pool and grants tokens from it to the VMs at which the tenant's requests
// arrive. A share is never in two places: while it is lent, its owner accrues nothing, and
// the grantor counts the lease from before the owner does.
//
// Tokens move with the messages and are never copied: a lost message loses tokens. A VM
// that restarts has no tokens, and its share accrues none until a loan of its earlier
// process has ended.
package usage
