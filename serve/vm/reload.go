package vm

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/settings"
)

// stopTimes are the settings of a graceful stop.
type stopTimes struct {
	within, leaveNotice time.Duration
}

func stopTimesOf(s *settings.Settings) *stopTimes {
	m := s.Message.Vm
	return &stopTimes{m.StopWithin.AsDuration(), m.LeaveNotice.AsDuration()}
}

// Reload puts checked settings into force while the VM runs: the times of a stop, the
// limits of extra attempts, the memory for replies and the limits for callers. It returns
// the names of the other settings that changed, which take effect at the next start.
func (v *VM) Reload(ctx context.Context, next *settings.Settings) (restart []string) {
	v.stopTimes.Store(stopTimesOf(next))
	v.gates.callers.SetLimits(next.CallerLimits())
	if v.discovery != nil {
		limits := next.QuotaLimits()
		v.updateControl(ctx, func(now ident.Instant, core *control.Core) { core.SetQuotaLimits(now, limits) })
		v.discovery.ReplyMemory.SetLimit(next.ReplyMemory())
		v.gates.front.SetLimits(next.FrontLimits())
	}
	return changedFields(withoutReloadable(v.settings.Message), withoutReloadable(next.Message))
}

// withoutReloadable returns a copy of settings without those that Reload puts into force.
func withoutReloadable(m *schema.Settings) *schema.Settings {
	m = proto.Clone(m).(*schema.Settings)
	m.Vm.StopWithin, m.Vm.LeaveNotice, m.Vm.RequestMemoryBytes, m.Vm.CallerConnections = nil, nil, 0, 0
	if d := m.Discovery; d != nil {
		d.ExtraRatio, d.ExtraAllowance, d.ExtraSpan, d.ReplyMemoryBytes = 0, 0, nil, 0
		d.RequestMemoryBytes, d.CallerConnections = 0, 0
	}
	return m
}

// changedFields returns the names of the top-level fields in which two messages differ,
// sorted.
func changedFields(a, b proto.Message) []string {
	var out []string
	before, after := a.ProtoReflect(), b.ProtoReflect()
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); !equalField(before, after, f) {
			out = append(out, f.JSONName())
		}
	}
	slices.Sort(out)
	return out
}

func equalField(a, b protoreflect.Message, f protoreflect.FieldDescriptor) bool {
	return a.Has(f) == b.Has(f) && a.Get(f).Equal(b.Get(f))
}
