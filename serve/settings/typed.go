package settings

import (
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/intake"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/snapshot"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
)

// Settings holds valid settings and converts them to the types of the core packages.
type Settings struct {
	// Message is valid and has its defaults filled in. It must not be modified.
	Message *schema.Settings
}

// Self returns this VM as a member of the roster.
func (s *Settings) Self(incarnation ident.Incarnation) roster.Member {
	return roster.Member{
		VM: ident.VMID(s.Message.Vm.Name), Zone: ident.ZoneID(s.Message.Vm.Zone),
		Address: s.Message.Peers.Listen, Incarnation: incarnation,
	}
}

// Seeds returns the other VMs that the settings list.
func (s *Settings) Seeds() []roster.Member {
	var out []roster.Member
	for _, p := range s.Message.Peers.Seeds {
		out = append(out, roster.Member{VM: ident.VMID(p.Vm), Zone: ident.ZoneID(p.Zone), Address: p.Address})
	}
	return out
}

// Services returns the services and their replicas.
func (s *Settings) Services() []view.Service {
	var out []view.Service
	for _, m := range s.Message.Services {
		service := view.Service{
			ID: ident.ServiceID(m.Name), Slots: int(m.Slots), Connections: int(m.Connections), Maps: ShardMaps(m),
		}
		for _, r := range m.Replicas {
			service.Replicas = append(service.Replicas, view.Replica{
				ID: ident.ReplicaID(r.Name), Shard: ident.ShardID(r.Shard),
				Zone: ident.ZoneID(r.Zone), Address: r.Address,
			})
		}
		out = append(out, service)
	}
	return out
}

// ShardMaps returns a service's shard maps.
func ShardMaps(m *schema.ServiceSettings) snapshot.Maps {
	var maps snapshot.Maps
	for _, sm := range m.ShardMaps {
		shardMap := snapshot.Map{Version: ident.MapVersion(sm.Version), Since: ident.SnapshotID(sm.SinceSnapshot)}
		for _, shard := range sm.Shards {
			shardMap.Shards = append(shardMap.Shards, ident.ShardID(shard))
		}
		maps = append(maps, shardMap)
	}
	return maps
}

// Fleet returns the zones, VMs and replicas of the deployment, for capacity checks.
func (s *Settings) Fleet() config.Fleet {
	f := config.Fleet{VMs: []ident.VMID{ident.VMID(s.Message.Vm.Name)}}
	for _, z := range s.Message.Zones {
		f.Zones = append(f.Zones, ident.ZoneID(z))
	}
	for _, p := range s.Message.Peers.Seeds {
		f.VMs = append(f.VMs, ident.VMID(p.Vm))
	}
	for _, m := range s.Message.Services {
		for _, r := range m.Replicas {
			f.Replicas = append(f.Replicas, config.FleetReplica{
				Service: ident.ServiceID(m.Name), Shard: ident.ShardID(r.Shard),
				ID: ident.ReplicaID(r.Name), Zone: ident.ZoneID(r.Zone), Slots: int(m.Slots),
			})
		}
	}
	return f
}

// ReplyMemory returns the most bytes that the bodies of upstreams' replies may take.
func (s *Settings) ReplyMemory() ident.Bytes {
	return ident.Bytes(s.Message.GetDiscovery().GetReplyMemoryBytes())
}

// CallerLimits returns the limits of the listener for callers.
func (s *Settings) CallerLimits() intake.Limits {
	vm := s.Message.Vm
	return intake.Limits{Connections: int(vm.CallerConnections), Memory: ident.Bytes(vm.RequestMemoryBytes)}
}

// FrontLimits returns the limits of the listener for clients of discovered routes.
func (s *Settings) FrontLimits() intake.Limits {
	d := s.Message.GetDiscovery()
	return intake.Limits{Connections: int(d.GetCallerConnections()), Memory: ident.Bytes(d.GetRequestMemoryBytes())}
}

// UsageBounds returns how exactly the usage caps of tenants hold over all VMs.
func (s *Settings) UsageBounds() usage.Bounds {
	u := s.Message.GetDiscovery().GetUsage()
	return usage.Bounds{
		Window: u.GetWindow().AsDuration(), Overshoot: u.GetOvershoot(), Allowance: ident.Tokens(u.GetAllowance()),
	}
}

// QuotaLimits returns the limits of the extra attempts to discovered services.
func (s *Settings) QuotaLimits() retry.QuotaLimits {
	d := s.Message.Discovery
	return retry.QuotaLimits{
		Ratio: ident.Share(d.GetExtraRatio()), Allowance: int(d.GetExtraAllowance()), Span: d.GetExtraSpan().AsDuration(),
	}
}

// RolloutBounds returns the bounds of rollouts; they are unset if the settings hold none.
func (s *Settings) RolloutBounds() rollout.Bounds {
	b := s.Message.Discovery.GetRollout()
	return rollout.Bounds{
		Share: ident.Share(b.GetCanaryShare()), Allowance: int(b.GetCanaryAllowance()), Within: b.GetRollbackWithin().AsDuration(),
	}
}

// InitialConfiguration returns the initial configuration, which is used if the platform's store
// contains none. Without presets in the settings it contains built-in ones.
func (s *Settings) InitialConfiguration() (config.Configuration, error) {
	if len(s.Message.Presets) == 0 && s.Message.Discovery != nil {
		return config.First(preset.BuiltinDiscovery(), preset.BuiltinDiscovery()[0].Name)
	}
	if len(s.Message.Presets) == 0 {
		p := preset.Ordinary()
		return config.First([]preset.Preset{p}, p.Name)
	}
	var presets []preset.Preset
	for _, m := range s.Message.Presets {
		presets = append(presets, codec.Preset(m))
	}
	return config.First(presets, ident.PresetName(s.Message.FirstPreset))
}
