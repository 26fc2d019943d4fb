package traffic

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/usage"
)

const (
	// usageTimeout is the time for another VM to answer a question about usage caps.
	usageTimeout = 150 * time.Millisecond
	// maxSkewChange is the change between the wall clock and the monotonic clock from which
	// on the machine may have been suspended.
	maxSkewChange = 100 * time.Millisecond
)

// A usageEvent is a question of another VM, or the answer to one of this VM.
type usageEvent struct {
	from     ident.VMID
	exchange usage.Exchange
	message  usage.Message
	ok       bool
	// answers has capacity for the one answer, so that the loop never blocks on it.
	answers chan usage.Message
}

// ReceiveUsage answers another VM's question about usage caps, or returns false if the loop
// has ended or ctx is done.
func (l *Loop) ReceiveUsage(ctx context.Context, from ident.VMID, m usage.Message) (usage.Message, bool) {
	answers := make(chan usage.Message, 1)
	if !l.post(event{kind: usageAsked, usage: &usageEvent{from: from, message: m, answers: answers}}) {
		return usage.Message{}, false
	}
	select {
	case answer := <-answers:
		return answer, true
	case <-l.done:
	case <-ctx.Done():
	}
	return usage.Message{}, false
}

func (l *Loop) shareUsage(ctx context.Context, e *usage.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	l.workers++
	go func() {
		defer cancel()
		answer, ok := l.config.Usage.ShareUsage(ctx, e)
		l.inbox <- event{kind: usageShared, usage: &usageEvent{exchange: *e, message: answer, ok: ok}}
	}()
}

// checkClock discards the tokens of usage caps if the machine may have been suspended, so
// that less time has passed for it than for the other VMs.
func (l *Loop) checkClock() {
	if !l.config.Core.SharesUsage() {
		return
	}
	skew := l.config.Clock.Skew()
	if change := skew - l.skew; change > maxSkewChange || change < -maxSkewChange {
		l.config.Core.DiscardUsage(l.config.Clock.Now())
	}
	l.skew = skew
}
