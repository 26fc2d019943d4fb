package traffic

import (
	"context"

	"carawaycross.example/carawaycross/core/node"
)

func (l *Loop) performActions(ctx context.Context) {
	l.actions = l.config.Core.Drain(l.actions[:0])
	for i := range l.actions {
		a := &l.actions[i]
		switch a.Kind {
		case node.Send:
			l.send(ctx, *a)
		case node.Abort:
			if r, ok := l.attempts[a.Attempt]; ok {
				r.cancel()
				delete(l.attempts, a.Attempt)
			}
		case node.Finish:
			l.answer(a)
		case node.Claim:
			l.claim(ctx, *a)
		case node.Forward:
			l.forward(ctx, *a)
		case node.Notify:
			l.sendNews(a.News)
		case node.ShareUsage:
			l.shareUsage(ctx, a.Usage)
		}
	}
	clear(l.actions)
}

func (l *Loop) answer(a *node.Action) {
	w := l.waiters[a.Query]
	if w == nil {
		return
	}
	delete(l.waiters, a.Query)
	if l.config.Observe != nil {
		l.config.Observe(w.arrival, a.Answer)
	}
	w.answer <- a.Answer
}

func (l *Loop) sendNews(n node.News) {
	select {
	case l.config.News <- n:
	default:
		l.droppedNews.Add(1)
	}
}

func (l *Loop) send(ctx context.Context, a node.Action) {
	// The core aborts the attempt at its deadline.
	ctx, cancel := context.WithCancel(ctx)
	l.attempts[a.Attempt] = runningAttempt{a.Query, cancel}
	l.workers++
	done := func() {}
	if w := l.waiters[a.Query]; w != nil && w.holder != nil {
		w.holder.Retain()
		done = w.holder.Done
	}
	go func() {
		reply := l.config.Upstream.Send(ctx, &a)
		done()
		l.inbox <- event{kind: replied, reply: reply}
	}()
}

func (l *Loop) claim(ctx context.Context, a node.Action) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline.Time())
	l.workers++
	go func() {
		defer cancel()
		result := l.config.Claimer.Claim(ctx, a.Key)
		l.inbox <- event{kind: claimed, query: a.Query, key: a.Key, claim: result}
	}()
}

func (l *Loop) forward(ctx context.Context, a node.Action) {
	w := l.waiters[a.Query]
	if w == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline.Time())
	arrival := w.arrival
	arrival.Deadline = a.Deadline.Sub(l.config.Clock.Now())
	l.workers++
	go func() {
		defer cancel()
		answer := l.config.Forwarder.Forward(ctx, a.VM, arrival)
		l.inbox <- event{kind: forwarded, query: a.Query, answer: answer}
	}()
}
