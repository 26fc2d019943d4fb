package door

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"carawaycross.example/carawaycross/schema"
)

// maxListedUpstreams limits the length of the status page.
const maxListedUpstreams = 20

// WriteStatus writes a status as plain text of about one screen: readiness and the
// configuration in force, then the advice to the operator, then tables with details.
func WriteStatus(w io.Writer, s *schema.Status) {
	fmt.Fprintf(w, "VM %s in %s: %s\n", s.Vm, s.Zone, choose(s.Ready, "ready", "NOT READY"))
	fmt.Fprintf(w, "Preset %s, version %d, in force here since %s\n",
		orNone(s.Preset), s.Version, inForceSince(s))
	fmt.Fprintf(w, "Platform %s%s; %d calls, %d failed\n\n", choose(s.Platform.Reachable, "reachable", "not reached"),
		choose(s.Platform.Watching, ", watched by this VM", ", heard of through peers"), s.Platform.Calls, s.Platform.Failed)
	if len(s.Advice) == 0 {
		fmt.Fprintln(w, "Nothing to do.")
	}
	for _, line := range s.Advice {
		fmt.Fprintf(w, "! %s\n", line)
	}
	fmt.Fprintf(w, "\nZones out: %v   VMs out: %v   queries in flight: %d   VMs that share connections: %d\n\n",
		s.ZonesOut, s.VmsOut, s.QueriesInFlight, s.Senders)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeVMs(table, s)
	writeServices(table, s)
	writeClasses(table, s)
	writeUpstreams(table, s)
	// Flush returns only errors of w, which reports them itself.
	_ = table.Flush()
}

func writeVMs(w io.Writer, s *schema.Status) {
	fmt.Fprintln(w, "VM\tZONE\tSTATE\tVERSION\tHEARD")
	for _, vm := range s.Vms {
		lastHeard := "self"
		if vm.Vm != s.Vm {
			lastHeard = "never"
			if vm.HeardAgo != nil {
				lastHeard = vm.HeardAgo.AsDuration().Round(time.Millisecond).String() + " ago"
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", vm.Vm, vm.Zone, vm.State, vm.Version, lastHeard)
	}
	fmt.Fprintln(w)
}

func writeServices(w io.Writer, s *schema.Status) {
	fmt.Fprintln(w, "SERVICE\tSHARDS USABLE\tSNAPSHOT")
	for _, service := range s.Services {
		fmt.Fprintf(w, "%s\t%d of %d\t%d\n", service.Service, service.ShardsUsable, service.Shards, service.Snapshot)
	}
	fmt.Fprintln(w)
}

func writeClasses(w io.Writer, s *schema.Status) {
	fmt.Fprintln(w, "TENANT\tCLASS\tANSWERED\tREFUSED\tP50\tP99\tP99.9\tCOVERAGE\tEXTRA")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%v\t%.2f%%\t%.2f%%\n", orNone(c.Tenant), orNone(c.Class),
			c.Answered, c.Refused, c.P50.AsDuration(), c.P99.AsDuration(), c.P999.AsDuration(),
			100*c.Coverage, 100*c.ExtraShare)
	}
	fmt.Fprintln(w)
}

func writeUpstreams(w io.Writer, s *schema.Status) {
	fmt.Fprintf(w, "UPSTREAMS NOT WARM: %d\n", len(s.Upstreams))
	for i, u := range s.Upstreams {
		if i == maxListedUpstreams {
			fmt.Fprintf(w, "and %d more\n", len(s.Upstreams)-maxListedUpstreams)
			return
		}
		pace := ""
		if u.Pace > 0 {
			pace = fmt.Sprintf(", at most %.1f in flight over all VMs", u.Pace)
		}
		fmt.Fprintf(w, "%s\t%s shard %d\t%s\t%s%s\n", u.Replica, u.Service, u.Shard, u.Zone, u.Condition, pace)
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func inForceSince(s *schema.Status) string {
	if s.InForceSince == nil {
		return "never"
	}
	return s.InForceSince.AsTime().UTC().Format(time.RFC3339)
}
