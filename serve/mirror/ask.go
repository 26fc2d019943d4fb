package mirror

import (
	"context"
	"errors"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/watch"
)

// An askResult is how a question to another VM ended.
type askResult uint8

const (
	// silent means that the VM did not respond.
	silent askResult = iota
	// rejected means that the VM is disconnected, or that its path must not be used.
	rejected
	// behind means that the VM holds an older version than this one.
	behind
	accepted
)

// askListing asks a mirror for all objects. It rejects the answer of a mirror that is
// behind this VM: its objects include some that were removed since.
func (r *Reader[T]) askListing(ctx context.Context, m Member, q Question) (platform.Listing[T], Origin, askResult) {
	a, origin, result := r.ask(ctx, m, q)
	if result != accepted {
		return platform.Listing[T]{}, Origin{}, result
	}
	if a.Version < r.cache.Version() {
		r.selector.ExcludeDisconnected(r.time().Add(disconnectedExclusion), m.VM)
		return platform.Listing[T]{}, Origin{}, behind
	}
	present := slices.DeleteFunc(a.Changes, func(c platform.Change[T]) bool { return c.Deleted })
	return platform.Listing[T]{Items: present, Version: a.Version}, origin, accepted
}

// relays returns the VMs that a VM without a mirror asks first: in a region of up to fanout
// VMs the one at the end of the last path, which reads the store itself, and the one that
// answered last.
func (r *Reader[T]) relays() []ident.VMID {
	path := r.lastDetour.Path
	if len(path) == 0 {
		return nil
	}
	if _, vms := r.selector.Position(); vms > fanout {
		return path[:1]
	}
	return []ident.VMID{path[len(path)-1], path[0]}
}

// askMirrors asks the mirrors in turn until one answers. It returns how many were asked and
// how many of them responded. Only one silent mirror is waited for.
func (r *Reader[T]) askMirrors(ctx context.Context, after platform.StoreVersion, wait time.Duration) (a Answer[T], origin Origin, ok bool, asked, responded int) {
	wait = min(wait, questionWait)
	for _, m := range r.selector.Mirrors(r.time()) {
		a, origin, result := r.ask(ctx, m, Question{Kind: r.Kind(), After: after, Wait: wait})
		asked++
		if result != silent {
			responded++
		}
		if result == accepted {
			return a, origin, true, asked, responded
		}
		if !r.cache.fromStore() {
			// Until another mirror or the store answers, this VM is disconnected too.
			r.cache.MarkDisconnected()
			wait = 0
		}
		if result == silent {
			wait = 0
			if r.cache.readsStore() || r.isOverdue() {
				break
			}
		}
	}
	return Answer[T]{}, Origin{}, false, asked, responded
}

var (
	errHistoryDropped = errors.New("the mirror dropped the history asked for")
	errNoPath         = errors.New("no VM has a path to the store")
)

// noPath returns the error of a read for which neither another VM nor the store was of use.
func noPath() error { return &platform.Error{Op: "mirror", Kind: platform.Unreachable, Err: errNoPath} }

// compacted returns the error after which the caller lists all objects again.
func compacted() error {
	return &platform.Error{Op: "mirror", Kind: platform.Compacted, Err: errHistoryDropped}
}

// storeAnswered reports whether a call failed although the store serves this VM: the
// store has changes that the call could not return. The answer of another VM, which may be
// in the same state, must not replace such an error.
func storeAnswered(err error) bool {
	return isCompacted(err) || isWatchError(err, watch.Behind)
}

// isCompacted reports whether the caller has to list all objects again.
func isCompacted(err error) bool {
	var e *platform.Error
	return errors.As(err, &e) && e.Kind == platform.Compacted
}

// isWatchError reports whether a call failed because of what a prober found.
func isWatchError(err error, kind watch.Kind) bool {
	var w *watch.Error
	return errors.As(err, &w) && w.Kind == kind
}

// ask sends a question to a mirror. If the mirror fails or is disconnected, ask excludes
// it for some time.
func (r *Reader[T]) ask(ctx context.Context, m Member, q Question) (Answer[T], Origin, askResult) {
	reply := vmReply{from: m, question: q, asked: r.time()}
	reply.answer, reply.err = r.send(ctx, m, q)
	return r.accept(reply)
}

// send sends a question to another VM and waits for its answer.
func (r *Reader[T]) send(ctx context.Context, m Member, q Question) (Answer[[]byte], error) {
	timeout := q.Wait + answerTimeout
	// Beside a question of a disconnected VM, others are asked meanwhile.
	if !q.Disconnected || r.MaxAge == 0 {
		if q.Wait == 0 {
			timeout = immediateAnswerTimeout
		}
		if q.After > 0 {
			q.Wait, timeout = r.limitWait(q.Wait, timeout)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.transport.Ask(ctx, m, q)
}

// accept decodes a reply. It excludes a VM that failed or is disconnected for some time.
func (r *Reader[T]) accept(reply vmReply) (Answer[T], Origin, askResult) {
	a, result := r.decode(reply)
	r.outages.countQuestion(result)
	// The question arrived later than it was asked, so this is a lower bound.
	return a, Origin{a.Path, reply.asked.Add(a.Confirmed)}, result
}

func (r *Reader[T]) decode(reply vmReply) (Answer[T], askResult) {
	m, received := reply.from, reply.answer
	if reply.err != nil {
		r.selector.Exclude(r.time().Add(failedExclusion), m.VM)
		return Answer[T]{}, silent
	}
	path := append([]ident.VMID{m.VM}, received.Path...)
	if received.Outcome == Disconnected || len(path) > maxPath || !r.selector.accepts(r.time(), received.Path) || r.isTooOld(reply) {
		r.selector.ExcludeDisconnected(r.time().Add(disconnectedExclusion), m.VM)
		return Answer[T]{}, rejected
	}
	a := Answer[T]{
		Outcome: received.Outcome, Version: received.Version, Path: path, Confirmed: received.Confirmed,
		Changes: make([]platform.Change[T], 0, len(received.Changes)),
	}
	for _, c := range received.Changes {
		decoded := platform.Change[T]{Name: c.Name, Deleted: c.Deleted}
		if !c.Deleted {
			var err error
			if decoded.Value, err = r.codec.Unmarshal(c.Value); err != nil {
				// One object that cannot be decoded must not hide the others.
				decoded.Deleted = true
				r.reportUnreadable(c.Name, err)
			}
		}
		a.Changes = append(a.Changes, decoded)
	}
	return a, accepted
}

// reportDetour reports a detour unless it resembles the last one.
func (r *Reader[T]) reportDetour(d Detour) {
	last := r.lastDetour
	r.lastDetour = d
	if r.ReadThroughOthers != nil && (!slices.Equal(d.Path, last.Path) || errorText(d.StoreErr) != errorText(last.StoreErr)) {
		r.ReadThroughOthers(d)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (r *Reader[T]) reportUnreadable(name string, err error) {
	if r.Unreadable != nil {
		r.Unreadable(r.Kind(), name, err)
	}
}
