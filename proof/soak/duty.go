package soak

import (
	"context"
	"syscall"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/serve/clock"
)

// dutyPeriod is the period of a duty cycle.
const dutyPeriod = 100 * time.Millisecond

// A dutyCycle stops a VM for a part of each dutyPeriod, in place of a limit on its processor
// time. Its pauses are no disturbance of the VM.
type dutyCycle struct {
	vm *process
	// share is the part of each period in which the VM runs.
	share ident.Share
	done  chan struct{}
}

// startDutyCycle starts a duty cycle that ends when the context is done.
func startDutyCycle(ctx context.Context, vm *process, share ident.Share) *dutyCycle {
	d := &dutyCycle{vm: vm, share: share, done: make(chan struct{})}
	go d.run(ctx)
	return d
}

// wait waits until the cycle has ended; the VM then runs.
func (d *dutyCycle) wait() { <-d.done }

func (d *dutyCycle) run(ctx context.Context) {
	defer close(d.done)
	running := time.Duration(float64(d.share) * float64(dutyPeriod))
	for ctx.Err() == nil {
		clock.Sleep(ctx, running)
		// A VM that ends meanwhile is stopped no more.
		_ = d.vm.signalUnlessPaused(syscall.SIGSTOP)
		clock.Sleep(ctx, dutyPeriod-running)
		_ = d.vm.signalUnlessPaused(syscall.SIGCONT)
	}
}
