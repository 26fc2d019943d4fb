package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/watch"
)

const (
	// maxStoreWait limits a wait for changes at the store by a VM that should read from
	// a mirror. The VM then asks its mirrors again.
	maxStoreWait = 5 * time.Second
	// reconnectDelay is how long a VM that should read from a mirror pauses after it
	// found the store silent, so that its mirror is the first to read the store when it
	// responds again. It covers a probe and a call.
	reconnectDelay = 600 * time.Millisecond
	// InitialListWait is how long a VM waits for the first listing of its mirror when
	// all VMs start together.
	InitialListWait = time.Second
	// maxMirrorWait limits how long a mirror waits for a change before it answers. It is
	// short because a mirror that no longer responds must be detected within the time in
	// which a change must be in force.
	maxMirrorWait = time.Second
	// answerTimeout is the time, in addition to the wait, within which a mirror must
	// answer.
	answerTimeout = 500 * time.Millisecond
	// immediateAnswerTimeout is the time within which a mirror must answer a question
	// without a wait, including the handshake. It is short so that a mirror that is down
	// does not delay the start of another VM.
	immediateAnswerTimeout = 150 * time.Millisecond
	// failedExclusion is how long a mirror that did not answer is excluded: about the
	// time in which a VM restarts.
	failedExclusion = 5 * time.Second
	// disconnectedExclusion is how long a mirror that answered Disconnected is excluded.
	disconnectedExclusion = time.Second
	// disconnectGrace is how long a mirror may take to reconnect, past the mirror that
	// it reads from, before it answers Disconnected. Without it, all VMs that read
	// through it would call the store at the same moment.
	disconnectGrace = 300 * time.Millisecond
)

// A Codec encodes and decodes the values of a kind.
type Codec[T any] struct {
	Marshal   func(T) ([]byte, error)
	Unmarshal func([]byte) (T, error)
}

// A Question asks a mirror for all objects of a kind or for their changes.
type Question struct {
	Kind string
	// After is the version after which changes are requested, or 0 for all objects.
	After platform.StoreVersion
	Wait  time.Duration
	// DirectOnly requires that the mirror reads the store itself: a mirror that reads
	// through the asking VM has no newer version.
	DirectOnly bool
}

// A Transport sends questions to other VMs.
type Transport interface {
	Ask(ctx context.Context, to Member, q Question) (Answer[[]byte], error)
}

// A Reader reads one kind from a mirror, or from the store if no mirror answers, and
// caches what it read to answer questions of other VMs.
type Reader[T any] struct {
	source    watch.Source[T]
	codec     Codec[T]
	selector  *Selector
	transport Transport
	cache     Cache[T]
	// fromStore reports whether the last successful read came from the store.
	fromStore atomic.Bool
	// InitialListWait is how long to wait for the first listing of a mirror. It is 0 for
	// a VM that starts while others already run.
	InitialListWait time.Duration
}

// NewReader returns a Reader of a source and of the mirrors that selector selects.
func NewReader[T any](source watch.Source[T], codec Codec[T], selector *Selector, transport Transport) *Reader[T] {
	return &Reader[T]{source: source, codec: codec, selector: selector, transport: transport}
}

// Kind returns the kind of the objects.
func (r *Reader[T]) Kind() string { return r.source.Kind() }

// List returns all objects.
func (r *Reader[T]) List(ctx context.Context) (platform.Listing[T], error) {
	for _, m := range r.selector.Mirrors(time.Now()) {
		if a, ok := r.ask(ctx, m, Question{Kind: r.Kind(), Wait: r.InitialListWait}); ok {
			l := platform.Listing[T]{Items: a.Changes, Version: a.Version}
			r.cache.SetListing(l)
			r.fromStore.Store(false)
			return l, nil
		}
	}
	l, err := r.source.List(ctx)
	if err != nil {
		r.cache.MarkDisconnected()
		return l, err
	}
	r.cache.SetListing(l)
	r.fromStore.Store(true)
	return l, nil
}

// Changes waits for changes after a version. It returns none if there are none within
// wait.
func (r *Reader[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error) {
	for _, m := range r.selector.Mirrors(time.Now()) {
		a, ok := r.ask(ctx, m, Question{Kind: r.Kind(), After: after, Wait: min(wait, maxMirrorWait)})
		if !ok && !r.fromStore.Load() {
			// Until another mirror or the store answers, this VM is disconnected too.
			// The remaining calls do not wait, so that the VMs that read through this
			// one soon receive that state.
			r.cache.MarkDisconnected()
			wait = 0
		}
		if !ok {
			continue
		}
		if a.Outcome == Compacted {
			return nil, after, &platform.Error{Op: "mirror", Kind: platform.Compacted, Err: errHistoryDropped}
		}
		r.cache.Apply(a.Changes, a.Version)
		r.fromStore.Store(false)
		return a.Changes, a.Version, nil
	}
	readsStore := r.selector.ReadsStore()
	if !readsStore {
		wait = min(wait, maxStoreWait)
	}
	changes, version, err := r.source.Changes(ctx, after, wait)
	if err == nil {
		r.cache.Apply(changes, version)
		r.fromStore.Store(true)
		return changes, version, nil
	}
	r.cache.MarkDisconnected()
	if changes, version, ok := r.askSuccessors(ctx, after, wait); ok {
		return changes, version, nil
	}
	if !readsStore && isSilent(err) {
		clock.Sleep(ctx, reconnectDelay)
	}
	return nil, after, err
}

// askSuccessors asks the VMs after this one in the order, which read the store
// themselves while this one is disconnected.
func (r *Reader[T]) askSuccessors(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, bool) {
	for _, m := range r.selector.Successors(time.Now()) {
		a, ok := r.ask(ctx, m, Question{Kind: r.Kind(), After: after, Wait: min(wait, maxMirrorWait), DirectOnly: true})
		if ok && a.Outcome == OK {
			r.cache.ApplyWhileDisconnected(a.Changes, a.Version)
			return a.Changes, a.Version, true
		}
	}
	return nil, after, false
}

var errHistoryDropped = errors.New("the mirror dropped the history asked for")

// isSilent reports whether a call failed because the store did not respond.
func isSilent(err error) bool {
	var w *watch.Error
	return errors.As(err, &w) && w.Kind == watch.Silent
}

// ask sends a question to a mirror. If the mirror fails or is disconnected, ask excludes
// it for some time and returns false.
func (r *Reader[T]) ask(ctx context.Context, m Member, q Question) (Answer[T], bool) {
	timeout := q.Wait + answerTimeout
	if q.Wait == 0 {
		timeout = immediateAnswerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	received, err := r.transport.Ask(ctx, m, q)
	if err != nil {
		r.selector.Exclude(time.Now().Add(failedExclusion), m.VM)
		return Answer[T]{}, false
	}
	if received.Outcome == Disconnected {
		r.selector.Exclude(time.Now().Add(disconnectedExclusion), m.VM)
		return Answer[T]{}, false
	}
	a := Answer[T]{Outcome: received.Outcome, Version: received.Version, Changes: make([]platform.Change[T], 0, len(received.Changes))}
	for _, c := range received.Changes {
		decoded := platform.Change[T]{Name: c.Name, Deleted: c.Deleted}
		if !c.Deleted {
			if decoded.Value, err = r.codec.Unmarshal(c.Value); err != nil {
				r.selector.Exclude(time.Now().Add(failedExclusion), m.VM)
				return Answer[T]{}, false
			}
		}
		a.Changes = append(a.Changes, decoded)
	}
	return a, true
}

// Answer answers a question of another VM.
func (r *Reader[T]) Answer(ctx context.Context, q Question) Answer[[]byte] {
	if q.DirectOnly && !r.fromStore.Load() {
		return Answer[[]byte]{Outcome: Disconnected}
	}
	wait := min(q.Wait, maxMirrorWait)
	a := Answer[T]{}
	if q.After > 0 {
		a = r.cache.Changes(ctx, q.After, wait)
	} else {
		a = r.cache.List(ctx, wait)
	}
	out := Answer[[]byte]{Outcome: a.Outcome, Version: a.Version}
	for _, c := range a.Changes {
		encoded := platform.Change[[]byte]{Name: c.Name, Deleted: c.Deleted}
		if !c.Deleted {
			value, err := r.codec.Marshal(c.Value)
			if err != nil {
				return Answer[[]byte]{Outcome: Disconnected}
			}
			encoded.Value = value
		}
		out.Changes = append(out.Changes, encoded)
	}
	return out
}
