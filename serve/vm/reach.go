package vm

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/mirror"
)

const (
	// reachEvery is the time between two looks at whether the VM is cut off. The
	// balancer asks once a second.
	reachEvery = 250 * time.Millisecond
	// reachWithin is the time for a VM of another zone to answer: many times the
	// way between two zones of a region.
	reachWithin = 400 * time.Millisecond
	// reachAsked is the number of VMs that are asked.
	reachAsked = 3
)

// followReach takes the VM out of the balancer's rotation while its zone is cut
// off from the others and it can serve little by itself: callers are then served
// by the other zones. A VM that still reaches another zone stays, whatever its
// upstreams do.
func (v *VM) followReach(ctx context.Context) {
	for clock.Sleep(ctx, reachEvery) {
		if !v.cutOff.Load() && !v.lane.MostlyUnserved() {
			continue
		}
		reached := v.reachesElsewhere(ctx)
		if cut := !reached; cut != v.cutOff.Load() && ctx.Err() == nil {
			v.cutOff.Store(cut)
			v.lane.SetCutOff(cut)
			v.log.Warn().Bool("cut-off", cut).Msg("zone-reach")
		}
	}
}

// reachesElsewhere reports whether any VM of another zone answers, or none is
// known.
func (v *VM) reachesElsewhere(ctx context.Context) bool {
	others := v.mirrors.choice.Elsewhere(reachAsked)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reachWithin)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			_, err := line{v}.ask(ctx, m, mirror.Question{Kind: v.discovery.ZonesOut.Kind()})
			answers <- err == nil
		}()
	}
	reached := false
	for range others {
		reached = <-answers || reached
	}
	return reached
}
