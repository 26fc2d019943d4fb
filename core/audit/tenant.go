package audit

import (
	"fmt"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/tenant"
)

func (r *report) checkTenants() {
	tenants := r.configuration.Tenants
	if len(tenants) == 0 {
		return
	}
	names := map[ident.TenantID]bool{}
	holders := map[ident.KeyDigest]ident.TenantID{}
	for i := range tenants {
		t := &tenants[i]
		place := fmt.Sprintf("tenant %q", t.ID)
		if t.ID == "" || names[t.ID] {
			r.add(Error, place, "the name is empty or used twice")
		}
		names[t.ID] = true
		if len(t.Keys) == 0 {
			r.add(Warning, place, "has no key: it can send nothing but requests to public routes")
		}
		for _, key := range t.Keys {
			if holder, taken := holders[key]; taken {
				r.add(Error, place, "shares a key with tenant %q, whose it remains", holder)
				continue
			}
			holders[key] = t.ID
		}
		r.checkCap(place, t)
	}
	for i := range r.configuration.Routes {
		if !r.configuration.Routes[i].Public {
			return
		}
	}
	r.add(Warning, "tenants", "all routes are public: no key is ever required")
}

func (r *report) checkCap(place string, t *tenant.Tenant) {
	switch vms := float64(r.environment.VMs); {
	case !t.Capped() && t.Burst > 0:
		r.add(Warning, place, "a burst of %v without a rate sets no cap", float64(t.Burst))
	case !t.Capped():
	case float64(t.Rate)+float64(t.Burst) < 1:
		r.add(Error, place, "the cap of %v a second and a burst of %v admit no request", float64(t.Rate), float64(t.Burst))
	case vms > 0 && float64(t.Rate) < vms:
		r.add(Warning, place, "%v requests a second for %v VMs: less than one each", float64(t.Rate), vms)
	}
	if t.Ranked && t.Rank < 0 {
		r.add(Warning, place, "the priority %d counts as 0", t.Rank)
	}
}
