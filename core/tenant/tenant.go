// Package tenant finds the tenant that holds a caller's key.
package tenant

import "carawaycross.example/carawaycross/core/ident"

// A Tenant is a caller organisation that holds keys.
type Tenant struct {
	ID ident.TenantID
	// Keys holds the digests of the tenant's keys.
	Keys []ident.KeyDigest
	// Rank replaces the rank of the route if Ranked is true.
	Rank   int
	Ranked bool
	// Rate is the usage cap over all VMs, and Burst what may be used at once beyond it.
	// A Rate of 0 sets no cap.
	Rate  ident.Rate
	Burst ident.Tokens
}

// Capped reports whether the tenant has a usage cap.
func (t *Tenant) Capped() bool { return t.Rate > 0 }

// A Table holds the tenants of one version of the configuration. It is immutable. A nil
// Table is that of a configuration without tenants, where requests need no key.
type Table struct {
	tenants []Tenant
	byKey   map[ident.KeyDigest]*Tenant
}

// NewTable returns a Table of the tenants, or nil if there are none. Of two tenants with
// the same key, the first holds it.
func NewTable(tenants []Tenant) *Table {
	if len(tenants) == 0 {
		return nil
	}
	t := &Table{tenants: tenants, byKey: make(map[ident.KeyDigest]*Tenant, len(tenants))}
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			if _, taken := t.byKey[key]; !taken {
				t.byKey[key] = &tenants[i]
			}
		}
	}
	return t
}

// Lookup returns the tenant that holds a key, or nil if no tenant does.
func (t *Table) Lookup(key ident.KeyDigest) *Tenant {
	if t == nil {
		return nil
	}
	return t.byKey[key]
}

// All returns the tenants in the order of the configuration.
func (t *Table) All() []Tenant {
	if t == nil {
		return nil
	}
	return t.tenants
}
