package eventlog

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// maxTenantLines is the number of a tenant's refusals that are shown.
const maxTenantLines = 10

// ExplainTenant writes how many requests of a tenant were refused, by VM and reason, and
// the latest of them. It returns false if no event names the tenant.
func ExplainTenant(w io.Writer, lines []Line, tenant string) bool {
	type cause struct{ source, reason string }
	refusals := map[cause]int{}
	var refused []Line
	found := false
	for _, l := range lines {
		if l.Fields["tenant"] != tenant {
			continue
		}
		found = true
		if l.Event == "request-refused" {
			reason, _ := l.Fields["reason"].(string)
			refusals[cause{l.Source, reason}]++
			refused = append(refused, l)
		}
	}
	if !found {
		return false
	}
	fmt.Fprintf(w, "tenant %s: %d requests refused\n", tenant, len(refused))
	causes := make([]cause, 0, len(refusals))
	for c := range refusals {
		causes = append(causes, c)
	}
	slices.SortFunc(causes, func(a, b cause) int {
		return cmp.Or(cmp.Compare(refusals[b], refusals[a]), cmp.Compare(a.source, b.source), cmp.Compare(a.reason, b.reason))
	})
	for _, c := range causes {
		fmt.Fprintf(w, "  %6d  %s at %s\n", refusals[c], c.reason, c.source)
	}
	if len(refused) > 0 {
		fmt.Fprintln(w, "  the latest:")
	}
	slices.SortStableFunc(refused, byTime)
	for _, l := range refused[max(len(refused)-maxTenantLines, 0):] {
		writeLine(w, l)
	}
	return true
}
