package codec

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/schema"
)

// UsageMessage encodes a message about usage caps.
func UsageMessage(m *usage.Message) *schema.UsageReport {
	out := &schema.UsageReport{Incarnation: uint64(m.Incarnation), Restarted: m.Restarted}
	for _, a := range m.Asks {
		out.Asks = append(out.Asks, &schema.UsageAsk{
			Tenant: string(a.Tenant), Need: uint32(max(a.Need, 0)), Spare: uint32(max(a.Spare, 0)), Held: float32(a.Held),
		})
	}
	for _, id := range m.Collects {
		out.Collects = append(out.Collects, string(id))
	}
	for _, r := range m.Returns {
		out.Returns = append(out.Returns, &schema.UsageReturn{Tenant: string(r.Tenant), Number: uint64(r.Number), Tokens: float32(r.Tokens)})
	}
	for _, g := range m.Grants {
		out.Grants = append(out.Grants, &schema.UsageGrant{
			Tenant: string(g.Tenant), Tokens: uint32(max(g.Tokens, 0)), WaitMs: uint32(max(g.Wait, 0) / time.Millisecond), Collecting: g.Collecting,
		})
	}
	for _, l := range m.Loans {
		out.Loans = append(out.Loans, &schema.UsageLoan{
			Tenant: string(l.Tenant), Number: uint64(l.Number), Rate: float32(l.Rate), Capacity: float32(l.Capacity), Held: float32(l.Held), Tokens: float32(l.Tokens),
			LeaseMs: uint32(max(l.Lease, 0) / time.Millisecond),
		})
	}
	return out
}

// Usage decodes a message about usage caps.
func Usage(in *schema.UsageReport) usage.Message {
	m := usage.Message{Incarnation: ident.Incarnation(in.GetIncarnation()), Restarted: in.GetRestarted()}
	for _, a := range in.GetAsks() {
		m.Asks = append(m.Asks, usage.Ask{
			Tenant: ident.TenantID(a.Tenant), Need: int(a.Need), Spare: int(a.Spare), Held: ident.Tokens(a.Held),
		})
	}
	for _, id := range in.GetCollects() {
		m.Collects = append(m.Collects, ident.TenantID(id))
	}
	for _, r := range in.GetReturns() {
		m.Returns = append(m.Returns, usage.Return{Tenant: ident.TenantID(r.Tenant), Number: usage.LoanNumber(r.Number), Tokens: ident.Tokens(r.Tokens)})
	}
	for _, g := range in.GetGrants() {
		m.Grants = append(m.Grants, usage.Grant{
			Tenant: ident.TenantID(g.Tenant), Tokens: int(g.Tokens), Wait: time.Duration(g.WaitMs) * time.Millisecond, Collecting: g.Collecting,
		})
	}
	for _, l := range in.GetLoans() {
		m.Loans = append(m.Loans, usage.Loan{
			Tenant: ident.TenantID(l.Tenant), Number: usage.LoanNumber(l.Number), Rate: ident.Rate(l.Rate), Capacity: ident.Tokens(l.Capacity), Held: ident.Tokens(l.Held),
			Tokens: ident.Tokens(l.Tokens), Lease: time.Duration(l.LeaseMs) * time.Millisecond,
		})
	}
	return m
}
