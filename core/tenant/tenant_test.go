package tenant

import (
	"testing"

	"carawaycross.example/carawaycross/core/ident"
)

func TestLookupReturnsTheFirstHolder(t *testing.T) {
	shared, own, unknown := ident.KeyDigest{1}, ident.KeyDigest{2}, ident.KeyDigest{3}
	table := NewTable([]Tenant{
		{ID: "kitchens", Keys: []ident.KeyDigest{shared}},
		{ID: "schools", Keys: []ident.KeyDigest{shared, own}},
	})
	if got := table.Lookup(shared).ID; got != "kitchens" {
		t.Errorf("the shared key belongs to %q, expected kitchens", got)
	}
	if got := table.Lookup(own).ID; got != "schools" {
		t.Errorf("the key belongs to %q, expected schools", got)
	}
	if got := table.Lookup(unknown); got != nil {
		t.Errorf("an unknown key belongs to %q", got.ID)
	}
}

func TestConfigurationWithoutTenantsRequiresNoKey(t *testing.T) {
	if table := NewTable(nil); table != nil || table.Lookup(ident.KeyDigest{}) != nil || table.All() != nil {
		t.Error("found a table, expected none")
	}
}
