package vm

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/mirror"
)

const (
	// reachCheckInterval is the time between two checks whether the VM is cut off. The
	// load balancer checks readiness once a second.
	reachCheckInterval = 250 * time.Millisecond
	// reachTimeout is the time for a VM of another zone to answer. It is many times the
	// network latency between two zones of a region.
	reachTimeout = 400 * time.Millisecond
	// maxReachTargets is the maximum number of VMs asked per check.
	maxReachTargets = 3
	// maxNotices is the maximum number of VMs of the zone that a VM that is cut off
	// notifies. Each of them notifies others, so the notice reaches larger zones too.
	maxNotices = 16
)

// monitorReach removes the VM from the load balancer's rotation while it reaches no VM
// of another zone and most of its requests are not served. Callers are then served by
// the other zones. A VM that reaches another zone stays in rotation even if its
// upstreams fail. A VM that was removed returns as soon as it reaches another zone.
//
// The load balancer sends callers to other zones only once all VMs of the zone are out
// of rotation, and with many VMs each sees few requests. So the first VM that is cut off
// notifies the others, which then need no evidence of their own, unless they serve most
// of their requests.
func (v *VM) monitorReach(ctx context.Context) {
	ticker := time.NewTicker(reachCheckInterval)
	defer ticker.Stop()
	for {
		notified := false
		select {
		case <-ticker.C:
		case <-v.cutOffNotices:
			notified = true
		case <-ctx.Done():
			return
		}
		suspected := v.traffic.MostlyUnserved() || (notified && !v.traffic.MostlyServed())
		if !v.cutOff.Load() && !suspected {
			continue
		}
		cutOff := !v.reachesOtherZone(ctx)
		if cutOff == v.cutOff.Load() || ctx.Err() != nil {
			continue
		}
		v.cutOff.Store(cutOff)
		v.traffic.SetCutOff(cutOff)
		v.log.Warn().Bool("cut-off", cutOff).Bool("notified", notified).Msg("zone-reach")
		if cutOff {
			v.notifyZone(ctx)
		}
	}
}

// notifyZone notifies VMs of the zone that this VM is cut off.
func (v *VM) notifyZone(ctx context.Context) {
	notice, err := proto.Marshal(&schema.PeerCall{CutOff: &schema.CutOffNotice{Zone: v.settings.Message.Vm.Zone}})
	if err != nil {
		v.log.Error().Err(err).Msg("notice-not-encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	others := v.mirrors.selector.InOwnZone(maxNotices)
	ended := make(chan struct{}, len(others))
	for _, m := range others {
		go func() {
			// A VM that gets no notice finds out by itself, or by that of another one.
			_, _ = v.peers.Call(ctx, m.VM, m.Address, notice)
			ended <- struct{}{}
		}()
	}
	for range others {
		<-ended
	}
}

// receiveCutOffNotice lets monitorReach check the reach of this VM at once.
func (v *VM) receiveCutOffNotice(n *schema.CutOffNotice) {
	if n.Zone != v.settings.Message.Vm.Zone {
		return
	}
	select {
	case v.cutOffNotices <- struct{}{}:
	default:
	}
}

// reachesOtherZone reports whether any VM of another zone answers. It returns true if
// no such VM is listed.
func (v *VM) reachesOtherZone(ctx context.Context) bool {
	others := v.mirrors.selector.InOtherZones(maxReachTargets)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			_, err := mirrorClient{v}.ask(ctx, m, mirror.Question{Kind: v.discovery.ZonesOut.Kind()})
			answers <- err == nil
		}()
	}
	reached := false
	for range others {
		reached = <-answers || reached
	}
	return reached
}
