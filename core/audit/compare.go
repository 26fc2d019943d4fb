package audit

import (
	"fmt"
	"reflect"
	"strings"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/tenant"
)

// A Difference is a part of a configuration that another one lacks or has otherwise.
type Difference struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Compare returns what a configuration changes in the one in force.
func Compare(inForce, next *catalogue.Configuration) []Difference {
	var out []Difference
	if inForce.Limits != next.Limits {
		out = append(out, Difference{"limits", changedFields(inForce.Limits, next.Limits)})
	}
	out = append(out, compareAll("route", inForce.Routes, next.Routes, func(r route.Route) ident.RouteID { return r.Name })...)
	out = append(out, compareAll("service", inForce.Services, next.Services, func(s catalogue.Service) ident.ServiceID { return s.ID })...)
	return append(out, compareAll("tenant", inForce.Tenants, next.Tenants, func(t tenant.Tenant) ident.TenantID { return t.ID })...)
}

// compareAll compares two lists of parts by their IDs. Removed parts come first.
func compareAll[T any, ID ~string](kind string, inForce, next []T, idOf func(T) ID) []Difference {
	var out []Difference
	add := func(id ID, text string) { out = append(out, Difference{fmt.Sprintf("%s %q", kind, id), text}) }
	old := map[ID]T{}
	kept := map[ID]bool{}
	for _, v := range next {
		kept[idOf(v)] = true
	}
	for _, v := range inForce {
		old[idOf(v)] = v
		if !kept[idOf(v)] {
			add(idOf(v), "is removed")
		}
	}
	for _, v := range next {
		before, known := old[idOf(v)]
		switch {
		case !known:
			add(idOf(v), "is added")
		case !reflect.DeepEqual(before, v):
			add(idOf(v), changedFields(before, v))
		}
	}
	return out
}

// changedFields lists the fields of two structs of the same type that differ. Digests of
// keys are counted, not shown.
func changedFields(before, after any) string {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []string
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		name := a.Type().Field(i).Name
		if keys, ok := x.([]ident.KeyDigest); ok {
			changes = append(changes, fmt.Sprintf("%s: %s", name, changedKeys(keys, y.([]ident.KeyDigest))))
			continue
		}
		changes = append(changes, fmt.Sprintf("%s: %v -> %v", name, x, y))
	}
	return strings.Join(changes, "; ")
}

func changedKeys(before, after []ident.KeyDigest) string {
	held := map[ident.KeyDigest]bool{}
	for _, key := range before {
		held[key] = true
	}
	added := 0
	for _, key := range after {
		if !held[key] {
			added++
		}
		delete(held, key)
	}
	return fmt.Sprintf("%d added, %d removed", added, len(held))
}
