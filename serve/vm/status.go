package vm

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/schema"
)

const (
	peerSilenceThreshold     = 15 * time.Second
	platformSilenceThreshold = 30 * time.Second
	coverageThreshold        = 0.999
)

// Status returns the state of this VM and of the other VMs as it last observed them, for
// operators.
func (v *VM) Status(ctx context.Context) *schema.Status {
	c := v.control.status(ctx)
	report, _ := v.traffic.Inspect(ctx)
	now := v.clock.Now()
	m := &schema.Status{
		Vm: string(c.Self.VM), Zone: string(c.Self.Zone), Incarnation: uint64(c.Self.Incarnation),
		Ready: v.apiServer.Ready(), Version: uint32(c.Configuration.Version), Preset: string(c.Configuration.InForce),
		Senders: uint32(c.Senders), QueriesInFlight: uint32(report.InFlight), VmsOut: c.Configuration.VMsOut,
		Out: c.Configuration.ZoneIsOut(c.Self.Zone) || c.Configuration.VMIsOut(string(c.Self.VM)),
	}
	if c.InForceSince != 0 {
		m.InForceSince = timestamppb.New(c.InForceSince.Time())
	}
	for _, z := range c.Configuration.ZonesOut {
		m.ZonesOut = append(m.ZonesOut, string(z))
	}
	m.Platform = v.platformStatus(now, &c)
	m.Vms = vmStatuses(now, &c)
	addTrafficStatus(m, &report)
	v.addClassStatus(m)
	m.Advice = advice(m)
	return m
}

func (v *VM) platformStatus(now ident.Instant, c *control.Status) *schema.PlatformStatus {
	p := &schema.PlatformStatus{
		Reachable: c.Platform.Reachable, Regressed: c.Platform.Regressed,
		Watching: c.Watching, Error: c.Platform.LastError,
	}
	if c.Platform.LastSuccess != 0 {
		p.HeardAgo = durationpb.New(now.Sub(c.Platform.LastSuccess).Round(time.Millisecond))
	}
	if c.Platform.FailingSince != 0 {
		p.FailingFor = durationpb.New(now.Sub(c.Platform.FailingSince).Round(time.Millisecond))
	}
	if client, ok := v.store.(*platform.Client); ok {
		calls, failed := client.Calls()
		p.Calls, p.Failed = uint64(calls), uint64(failed)
	}
	return p
}

func vmStatuses(now ident.Instant, c *control.Status) []*schema.VMStatus {
	var out []*schema.VMStatus
	for _, member := range c.Members {
		s := &schema.VMStatus{Vm: string(member.VM), Zone: string(member.Zone), State: member.State.String()}
		if member.VM == c.Self.VM {
			s.Version = uint32(c.Configuration.Version)
			s.VersionSince = timestamppb.New(c.InForceSince.Time())
		} else if peer, ok := c.Versions[member.VM]; ok {
			s.Version = uint32(peer.Version)
			s.VersionSince = timestamppb.New(peer.Since.Time())
			s.HeardAgo = durationpb.New(now.Sub(peer.LastReceived).Round(time.Millisecond))
		}
		out = append(out, s)
	}
	return out
}

func addTrafficStatus(m *schema.Status, report *node.Report) {
	for _, s := range report.Services {
		m.Services = append(m.Services, &schema.ServiceStatus{
			Service: string(s.ID), Shards: uint32(s.Shards), ShardsUsable: uint32(s.Usable), Snapshot: uint32(s.Snapshot),
		})
	}
	for _, r := range report.Replicas {
		condition := r.Condition.String()
		if r.Out {
			condition = "out"
		}
		if condition == replica.Warm.String() && r.Pace == 0 {
			continue
		}
		m.Upstreams = append(m.Upstreams, &schema.UpstreamStatus{
			Replica: string(r.ID), Service: string(r.Service), Shard: uint32(r.Shard),
			Zone: string(r.Zone), Condition: condition, Pace: r.Pace,
		})
	}
}

func (v *VM) addClassStatus(m *schema.Status) {
	for _, r := range v.gauges.Read() {
		m.Classes = append(m.Classes, &schema.ClassStatus{
			Tenant: string(r.Tenant), Class: string(r.Class), Answered: r.Answered, Refused: r.Refused,
			P50: durationpb.New(r.P50), P99: durationpb.New(r.P99), P999: durationpb.New(r.P999),
			Coverage: float64(r.Coverage), ExtraShare: float64(r.Extra),
		})
	}
}

// advice returns a message for each failure or stale state in the status, with the
// action to take.
func advice(m *schema.Status) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if m.Version == 0 {
		add("No configuration is known: this VM serves nothing until the platform or a peer answers. Check both networks.")
	}
	if m.Out {
		add("This VM or its availability zone is out: new requests are refused. Bring it in with 'vm in' or 'zone in'.")
	}
	if p := m.Platform; p.Watching && p.FailingFor.AsDuration() > 0 {
		add("The platform has failed for %v: traffic goes on; changes and callers' own request keys must wait. %s", p.FailingFor.AsDuration(), p.Error)
	} else if p.Watching && p.HeardAgo.AsDuration() > platformSilenceThreshold {
		add("The platform was last heard %v ago: its watch may be stale.", p.HeardAgo.AsDuration())
	}
	if m.Platform.Regressed {
		add("The platform holds an older version than %d: it is being repaired. Check its restore.", m.Version)
	}
	for _, vm := range m.Vms {
		switch {
		case vm.State == roster.Suspect.String() || vm.State == roster.Dead.String():
			add("VM %s is %s: if it is gone for good, remove it from the platform's list so that its connections are shared out.", vm.Vm, vm.State)
		case vm.Version != 0 && vm.Version < m.Version:
			add("VM %s has version %d of %d.", vm.Vm, vm.Version, m.Version)
		case vm.Vm != m.Vm && vm.HeardAgo.AsDuration() > peerSilenceThreshold:
			add("VM %s was last heard %v ago.", vm.Vm, vm.HeardAgo.AsDuration())
		}
	}
	for _, s := range m.Services {
		if s.ShardsUsable < s.Shards {
			add("%s covers %d of %d shards: look at its upstreams below.", s.Service, s.ShardsUsable, s.Shards)
		}
	}
	for _, c := range m.Classes {
		if c.Answered > 0 && c.Coverage < coverageThreshold {
			add("%s/%s had a coverage of %.2f%% since the start.", c.Tenant, c.Class, 100*c.Coverage)
		}
	}
	return out
}

// publishVars publishes the VM's variables at /debug/vars.
func (v *VM) publishVars() {
	publish := func(name string, read func() any) { v.gauges.Publish(name, expvar.Func(read)) }
	publish("upstream", func() any { return v.upstream.Totals() })
	if memory := v.replyMemory(); memory != nil {
		publish("reply-memory", func() any { return memory.Used() })
	}
	publish("callers", v.gates.stats)
	publish("queries-in-flight", func() any { return v.traffic.InFlight() })
	publish("reports-dropped", func() any { return v.traffic.DroppedNews() })
	publish("messages-dropped", func() any { return v.control.droppedMessages.Load() })
	publish("configuration-version", func() any { return v.views.Current().Version })
	publish("rollouts", func() any { return v.rolloutVars() })
	if v.peers != nil {
		publish("peers", func() any { return v.peers.Stats() })
	}
	if v.mirrors != nil {
		publish("mirrors", func() any { return v.mirrors.vars() })
	}
	if client, ok := v.store.(*platform.Client); ok {
		publish("platform", func() any {
			calls, failed := client.Calls()
			return json.RawMessage(fmt.Sprintf(`{"calls": %d, "failed": %d, "unreadable": %d}`, calls, failed, client.UnreadableObjects()))
		})
	}
}
