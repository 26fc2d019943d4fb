package vm

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/serve/clock"
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
)

// monitorReach removes the VM from the load balancer's rotation while it reaches no VM
// of another zone and most of its requests are not served. Callers are then served by
// the other zones. A VM that reaches another zone stays in rotation even if its
// upstreams fail. A VM that was removed returns as soon as it reaches another zone.
func (v *VM) monitorReach(ctx context.Context) {
	for clock.Sleep(ctx, reachCheckInterval) {
		if !v.cutOff.Load() && !v.traffic.MostlyUnserved() {
			continue
		}
		reached := v.reachesOtherZone(ctx)
		if cutOff := !reached; cutOff != v.cutOff.Load() && ctx.Err() == nil {
			v.cutOff.Store(cutOff)
			v.traffic.SetCutOff(cutOff)
			v.log.Warn().Bool("cut-off", cutOff).Msg("zone-reach")
		}
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
