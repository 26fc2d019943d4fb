package audit

import (
	"strings"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/tenant"
)

// sound returns a configuration without faults, and what it is checked against.
func sound() (*catalogue.Configuration, Environment) {
	c := &catalogue.Configuration{
		Version: 7,
		Limits:  route.Limits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []route.Route{
			{
				Name: "sweep", Host: "search.example", Prefix: "/sweep/", Gather: true, Repeatable: true, Top: 20, LeastCoverage: 0.9,
				Timeout: 3 * time.Second, Goal: 300 * time.Millisecond, Attempts: 2,
				Targets: []route.Target{{Services: []ident.ServiceID{"shard-0", "shard-1"}, Weight: 1}},
			},
			{
				Name: "desk", Host: "search.example", Prefix: "/desk/", Timeout: 3 * time.Second, Goal: time.Second, Attempts: 1,
				Targets: []route.Target{{Services: []ident.ServiceID{"desk"}, Weight: 3}},
			},
		},
		Services: []catalogue.Service{{ID: "shard-0", Connections: 82}, {ID: "shard-1", Connections: 82}, {ID: "desk", Connections: 550}},
		Tenants:  []tenant.Tenant{{ID: "kitchens", Keys: []ident.KeyDigest{{1}}, Rate: 40, Burst: 40}},
	}
	return c, Environment{
		VMs: 32, RequestMemory: 8 << 20, InForce: 6,
		Replicas: map[ident.ServiceID]int{"shard-0": 3, "shard-1": 3, "desk": 8},
	}
}

func TestSoundConfigurationHasNoFindings(t *testing.T) {
	c, e := sound()
	if found := Check(c, e); len(found) > 0 {
		t.Error(found)
	}
	if found := Check(c, Environment{}); len(found) > 0 {
		t.Error("without an environment:", found)
	}
}

func TestEachFaultIsFound(t *testing.T) {
	for name, tc := range map[string]struct {
		spoil    func(*catalogue.Configuration, *Environment)
		severity Severity
		text     string
	}{
		"old version":        {func(_ *catalogue.Configuration, e *Environment) { e.InForce = 7 }, Error, "VMs ignore it"},
		"body over budget":   {func(c *catalogue.Configuration, _ *Environment) { c.Limits.BodyBytes = 9 << 20 }, Error, "reserves"},
		"no idle time-out":   {func(c *catalogue.Configuration, _ *Environment) { c.Limits.IdleTimeout = 0 }, Warning, "sets no limit"},
		"no routes":          {func(c *catalogue.Configuration, _ *Environment) { c.Routes = nil }, Error, "there are none"},
		"same match":         {func(c *catalogue.Configuration, _ *Environment) { c.Routes[1].Prefix = "/sweep/" }, Error, `never matches: route "sweep"`},
		"host with port":     {func(c *catalogue.Configuration, _ *Environment) { c.Routes[1].Host = "search.example:80" }, Error, "never matches"},
		"query in prefix":    {func(c *catalogue.Configuration, _ *Environment) { c.Routes[1].Prefix = "/desk?x/" }, Error, "never matches"},
		"prefix no slash":    {func(c *catalogue.Configuration, _ *Environment) { c.Routes[1].Prefix = "/desk" }, Error, "slash"},
		"name twice":         {func(c *catalogue.Configuration, _ *Environment) { c.Routes[1].Name = "sweep" }, Error, "used twice"},
		"no weight":          {func(c *catalogue.Configuration, _ *Environment) { c.Routes[1].Targets = nil }, Error, "weight"},
		"shard twice":        {func(c *catalogue.Configuration, _ *Environment) { c.Routes[0].Targets[0].Services[1] = "shard-0" }, Error, "listed twice"},
		"coverage over 1":    {func(c *catalogue.Configuration, _ *Environment) { c.Routes[0].LeastCoverage = 1.2 }, Error, "coverage"},
		"goal over time-out": {func(c *catalogue.Configuration, _ *Environment) { c.Routes[0].Goal = 4 * time.Second }, Error, "longer than"},
		"too many attempts":  {func(c *catalogue.Configuration, _ *Environment) { c.Routes[0].Attempts = 4 }, Warning, "has 3 replicas"},
		"attempts at once":   {func(c *catalogue.Configuration, _ *Environment) { c.Routes[1].Attempts = 2 }, Warning, "may not be repeated"},
		"no replica":         {func(_ *catalogue.Configuration, e *Environment) { delete(e.Replicas, "desk") }, Error, "no replica"},
		"unused service":     {func(c *catalogue.Configuration, _ *Environment) { c.Services[2].ID = "old-desk" }, Warning, "no route sends"},
		"few connections":    {func(c *catalogue.Configuration, _ *Environment) { c.Services[0].Connections = 16 }, Warning, "only some VMs"},
		"no key":             {func(c *catalogue.Configuration, _ *Environment) { c.Tenants[0].Keys = nil }, Warning, "no key"},
		"key twice": {func(c *catalogue.Configuration, _ *Environment) {
			c.Tenants = append(c.Tenants, tenant.Tenant{ID: "schools", Keys: []ident.KeyDigest{{1}}})
		}, Error, "shares a key"},
		"cap below a VM":     {func(c *catalogue.Configuration, _ *Environment) { c.Tenants[0].Rate = 5 }, Warning, "less than one each"},
		"cap admits nothing": {func(c *catalogue.Configuration, _ *Environment) { c.Tenants[0].Rate, c.Tenants[0].Burst = 0.2, 0.1 }, Error, "admit no request"},
		"burst without rate": {func(c *catalogue.Configuration, _ *Environment) { c.Tenants[0].Rate = 0 }, Warning, "sets no cap"},
		"keys never needed": {func(c *catalogue.Configuration, _ *Environment) {
			c.Routes[0].Public, c.Routes[1].Public = true, true
		}, Warning, "all routes are public"},
	} {
		t.Run(name, func(t *testing.T) {
			c, e := sound()
			tc.spoil(c, &e)
			for _, f := range Check(c, e) {
				if f.Severity == tc.severity && strings.Contains(f.Text, tc.text) {
					return
				}
			}
			t.Errorf("found %v, expected a finding with %q", Check(c, e), tc.text)
		})
	}
}

func TestCompareNamesEachChangeAndNoKey(t *testing.T) {
	before, _ := sound()
	after, _ := sound()
	after.Routes[0].Goal = 200 * time.Millisecond
	after.Routes = append(after.Routes[:1], route.Route{Name: "new"})
	after.Tenants[0].Keys = []ident.KeyDigest{{2}, {3}}
	after.Limits.BodyBytes++
	got := map[string]string{}
	for _, d := range Compare(before, after) {
		got[d.Place] = d.Text
	}
	want := map[string]string{
		"limits":        "BodyBytes: 262144 -> 262145",
		`route "sweep"`: "Goal: 300ms -> 200ms", `route "desk"`: "is removed", `route "new"`: "is added",
		`tenant "kitchens"`: "Keys: 2 added, 1 removed",
	}
	if len(got) != len(want) {
		t.Errorf("found %v, expected %v", got, want)
	}
	for place, text := range want {
		if got[place] != text {
			t.Errorf("%s: found %q, expected %q", place, got[place], text)
		}
	}
	if same := Compare(before, before); len(same) > 0 {
		t.Error("no change:", same)
	}
}
