package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/tenant"
	"carawaycross.example/carawaycross/schema"
)

// MarshalReplica encodes a replica's entry. ColdUntil is encoded as the time left, so
// that it does not depend on the clocks of different VMs.
func MarshalReplica(now ident.Instant, r catalogue.Replica) ([]byte, error) {
	m := &schema.CatalogueReplica{
		Id: string(r.ID), Service: string(r.Service), Zone: string(r.Zone), Address: r.Address,
		Born: uint64(r.Incarnation), Slots: uint32(r.Slots), Leaving: r.Leaving,
		Software: string(r.Software),
	}
	if left := r.ColdUntil.Sub(now); r.ColdUntil != 0 && left > 0 {
		m.ColdMs = uint32(left / time.Millisecond)
	}
	return proto.Marshal(m)
}

// UnmarshalReplica decodes a replica's entry.
func UnmarshalReplica(now ident.Instant, b []byte) (catalogue.Replica, error) {
	var m schema.CatalogueReplica
	if err := proto.Unmarshal(b, &m); err != nil {
		return catalogue.Replica{}, err
	}
	r := catalogue.Replica{
		ID: ident.ReplicaID(m.Id), Service: ident.ServiceID(m.Service), Zone: ident.ZoneID(m.Zone), Address: m.Address,
		Incarnation: ident.Incarnation(m.Born), Slots: int(m.Slots), Leaving: m.Leaving,
		Software: ident.Software(m.Software),
	}
	if m.ColdMs > 0 {
		r.ColdUntil = now.Add(time.Duration(m.ColdMs) * time.Millisecond)
	}
	return r, nil
}

// MarshalRoutes encodes a version of the routes.
func MarshalRoutes(c catalogue.Configuration) ([]byte, error) {
	m := &schema.CatalogueConfiguration{Version: uint64(c.Version), Limits: &schema.CatalogueLimits{
		HeaderBytes: int32(c.Limits.HeaderBytes), BodyBytes: int32(c.Limits.BodyBytes),
		HeaderMs: toMilliseconds(c.Limits.HeaderTimeout), IdleMs: toMilliseconds(c.Limits.IdleTimeout),
	}}
	for _, s := range c.Services {
		m.Services = append(m.Services, &schema.CatalogueService{
			Id: string(s.ID), Connections: int32(s.Connections), ColdRate: float64(s.ColdRate),
		})
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		routeMessage := &schema.CatalogueRoute{
			Name: string(r.Name), Host: r.Host, Prefix: r.Prefix, Repeatable: r.Repeatable, Gather: r.Gather,
			Top: int32(r.Top), LeastCoverage: float64(r.LeastCoverage), TimeoutMs: toMilliseconds(r.Timeout),
			GoalMs: toMilliseconds(r.Goal), Rank: int32(r.Rank), Attempts: int32(r.Attempts),
			Public: r.Public,
		}
		for _, t := range r.Targets {
			routeMessage.Targets = append(routeMessage.Targets, &schema.CatalogueTarget{Services: convertAll[string](t.Services), Weight: t.Weight})
		}
		m.Routes = append(m.Routes, routeMessage)
	}
	for i := range c.Tenants {
		m.Tenants = append(m.Tenants, tenantMessage(&c.Tenants[i]))
	}
	return proto.Marshal(m)
}

// UnmarshalRoutes decodes a version of the routes.
func UnmarshalRoutes(b []byte) (catalogue.Configuration, error) {
	var m schema.CatalogueConfiguration
	if err := proto.Unmarshal(b, &m); err != nil {
		return catalogue.Configuration{}, err
	}
	c := catalogue.Configuration{Version: ident.RoutesVersion(m.Version), Limits: route.Limits{
		HeaderBytes: int(m.GetLimits().GetHeaderBytes()), BodyBytes: int(m.GetLimits().GetBodyBytes()),
		HeaderTimeout: fromMilliseconds(m.GetLimits().GetHeaderMs()), IdleTimeout: fromMilliseconds(m.GetLimits().GetIdleMs()),
	}}
	for _, s := range m.Services {
		c.Services = append(c.Services, catalogue.Service{
			ID: ident.ServiceID(s.Id), Connections: int(s.Connections), ColdRate: ident.Rate(s.ColdRate),
		})
	}
	for _, r := range m.Routes {
		decoded := route.Route{
			Name: ident.RouteID(r.Name), Host: r.Host, Prefix: r.Prefix, Repeatable: r.Repeatable, Gather: r.Gather,
			Top: int(r.Top), LeastCoverage: ident.Share(r.LeastCoverage), Timeout: fromMilliseconds(r.TimeoutMs),
			Goal: fromMilliseconds(r.GoalMs), Rank: int(r.Rank), Attempts: int(r.Attempts),
			Public: r.Public,
		}
		for _, t := range r.Targets {
			decoded.Targets = append(decoded.Targets, route.Target{Services: convertAll[ident.ServiceID](t.Services), Weight: t.Weight})
		}
		c.Routes = append(c.Routes, decoded)
	}
	for _, t := range m.Tenants {
		decoded, err := decodeTenant(t)
		if err != nil {
			return catalogue.Configuration{}, err
		}
		c.Tenants = append(c.Tenants, decoded)
	}
	return c, nil
}

func tenantMessage(t *tenant.Tenant) *schema.CatalogueTenant {
	m := &schema.CatalogueTenant{
		Name: string(t.ID), Rank: int32(t.Rank), Ranked: t.Ranked, Rate: float64(t.Rate), Burst: float64(t.Burst),
	}
	for i := range t.Keys {
		m.KeyDigests = append(m.KeyDigests, t.Keys[i][:])
	}
	return m
}

func decodeTenant(m *schema.CatalogueTenant) (tenant.Tenant, error) {
	t := tenant.Tenant{
		ID: ident.TenantID(m.Name), Rank: int(m.Rank), Ranked: m.Ranked, Rate: ident.Rate(m.Rate), Burst: ident.Tokens(m.Burst),
	}
	for _, digest := range m.KeyDigests {
		if len(digest) != len(ident.KeyDigest{}) {
			return tenant.Tenant{}, fmt.Errorf("tenant %q: found a key digest of %d bytes, allowed: %d", m.Name, len(digest), len(ident.KeyDigest{}))
		}
		t.Keys = append(t.Keys, ident.KeyDigest(digest))
	}
	return t, nil
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return ident.Span(ms, time.Millisecond) }
