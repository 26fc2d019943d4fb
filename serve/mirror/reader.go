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
	// waitWithoutMirror is how long a VM whose mirror is out of touch waits for the
	// store; it then asks the mirror again.
	waitWithoutMirror = 5 * time.Second
	// headStart is how long a VM leaves the store to its mirror when the store is
	// back: a look and a call.
	headStart = 600 * time.Millisecond
	// InitialListWait is how long a mirror may take for its own first listing where all
	// VMs start together.
	InitialListWait = time.Second
	// waitAtMirror is how long a question to a mirror waits for a change. It is
	// short, since a mirror that fell silent must be noticed within the time in
	// which a change has to be in force.
	waitAtMirror = time.Second
	// answerWithin is added for the way there and back.
	answerWithin = 500 * time.Millisecond
	// answerAtOnceWithin is the time for an answer that waits for nothing, with the
	// handshake: a VM that starts must not be kept from the store by a mirror that
	// is gone.
	answerAtOnceWithin = 150 * time.Millisecond
	// silentPause is how long a mirror that did not answer is passed over: about as
	// long as a VM takes to restart.
	silentPause = 5 * time.Second
	// outOfTouchPause is the same for one that answered that it is out of touch.
	outOfTouchPause = time.Second
	// outOfTouchFor is how long a mirror tries to be in touch again, past the one
	// that it reads from, before it says that it is not: else all VMs behind it
	// would turn to the store at the same moment.
	outOfTouchFor = 300 * time.Millisecond
)

// A Codec turns values into bytes and back.
type Codec[T any] struct {
	Marshal   func(T) ([]byte, error)
	Unmarshal func([]byte) (T, error)
}

// A Question is what one VM asks another.
type Question struct {
	Kind string
	// After is the version after which changes are wanted; 0 for all objects.
	After platform.StoreVersion
	Wait  time.Duration
	// OwnReading allows only an answer of a VM that reads the store itself: one that
	// reads through the VM which asks knows no more than that.
	OwnReading bool
}

// A Line carries questions to other VMs.
type Line interface {
	Ask(ctx context.Context, to Member, q Question) (Answer[[]byte], error)
}

// A Reader reads one kind from a mirror where there is one, and else from the
// store, and keeps what it read for others.
type Reader[T any] struct {
	source watch.Source[T]
	codec  Codec[T]
	choice *Selector
	line   Line
	book   Book[T]
	// Own is true while what was read last came from the store itself.
	own atomic.Bool
	// InitialListWait is how long a mirror may take for its own first listing; 0 for a VM
	// that starts where others run.
	InitialListWait time.Duration
}

// NewReader returns a Reader of a source.
func NewReader[T any](source watch.Source[T], codec Codec[T], choice *Selector, line Line) *Reader[T] {
	return &Reader[T]{source: source, codec: codec, choice: choice, line: line}
}

// Kind returns the name of the kind.
func (r *Reader[T]) Kind() string { return r.source.Kind() }

// List returns all objects.
func (r *Reader[T]) List(ctx context.Context) (platform.Listing[T], error) {
	for _, m := range r.choice.Mirrors(time.Now()) {
		if a, ok := r.ask(ctx, m, Question{Kind: r.Kind(), Wait: r.InitialListWait}); ok {
			l := platform.Listing[T]{Items: a.Changes, Version: a.Version}
			r.book.Listed(l)
			r.own.Store(false)
			return l, nil
		}
	}
	l, err := r.source.List(ctx)
	if err != nil {
		r.book.Failed()
		return l, err
	}
	r.book.Listed(l)
	r.own.Store(true)
	return l, nil
}

// Changes waits for changes after a version.
func (r *Reader[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error) {
	for _, m := range r.choice.Mirrors(time.Now()) {
		a, ok := r.ask(ctx, m, Question{Kind: r.Kind(), After: after, Wait: min(wait, waitAtMirror)})
		if !ok && !r.own.Load() {
			// Until another answers, this VM is out of touch too. The next call does not
			// wait: those who read through this VM must soon know.
			r.book.Failed()
			wait = 0
		}
		if !ok {
			continue
		}
		if a.Outcome == Compacted {
			return nil, after, &platform.Error{Op: "mirror", Kind: platform.Compacted, Err: errBehind}
		}
		r.book.Changed(a.Changes, a.Version)
		r.own.Store(false)
		return a.Changes, a.Version, nil
	}
	readsStore := r.choice.ReadsStore()
	if !readsStore {
		wait = min(wait, waitWithoutMirror)
	}
	changes, version, err := r.source.Changes(ctx, after, wait)
	if err == nil {
		r.book.Changed(changes, version)
		r.own.Store(true)
		return changes, version, nil
	}
	r.book.Failed()
	if changes, version, ok := r.askLater(ctx, after, wait); ok {
		return changes, version, nil
	}
	if !readsStore && isSilent(err) {
		clock.Sleep(ctx, headStart)
	}
	return nil, after, err
}

// askLater asks the VMs behind this one, which read the store themselves while this
// one is out of touch.
func (r *Reader[T]) askLater(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, bool) {
	for _, m := range r.choice.Later(time.Now()) {
		a, ok := r.ask(ctx, m, Question{Kind: r.Kind(), After: after, Wait: min(wait, waitAtMirror), OwnReading: true})
		if ok && a.Outcome == OK {
			r.book.Told(a.Changes, a.Version)
			return a.Changes, a.Version, true
		}
	}
	return nil, after, false
}

var errBehind = errors.New("the mirror dropped the history asked for")

func isSilent(err error) bool {
	var w *watch.Error
	return errors.As(err, &w) && w.Kind == watch.Silent
}

// ask puts a question to a mirror; false when it could not tell.
func (r *Reader[T]) ask(ctx context.Context, m Member, q Question) (Answer[T], bool) {
	within := q.Wait + answerWithin
	if q.Wait == 0 {
		within = answerAtOnceWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	raw, err := r.line.Ask(ctx, m, q)
	if err != nil {
		r.choice.PassOver(time.Now().Add(silentPause), m.VM)
		return Answer[T]{}, false
	}
	if raw.Outcome == Disconnected {
		r.choice.PassOver(time.Now().Add(outOfTouchPause), m.VM)
		return Answer[T]{}, false
	}
	a := Answer[T]{Outcome: raw.Outcome, Version: raw.Version, Changes: make([]platform.Change[T], 0, len(raw.Changes))}
	for _, c := range raw.Changes {
		one := platform.Change[T]{Name: c.Name, Deleted: c.Deleted}
		if !c.Deleted {
			if one.Value, err = r.codec.Unmarshal(c.Value); err != nil {
				r.choice.PassOver(time.Now().Add(silentPause), m.VM)
				return Answer[T]{}, false
			}
		}
		a.Changes = append(a.Changes, one)
	}
	return a, true
}

// Answer answers another VM's question.
func (r *Reader[T]) Answer(ctx context.Context, q Question) Answer[[]byte] {
	if q.OwnReading && !r.own.Load() {
		return Answer[[]byte]{Outcome: Disconnected}
	}
	wait := min(q.Wait, waitAtMirror)
	a := Answer[T]{}
	if q.After > 0 {
		a = r.book.Changes(ctx, q.After, wait)
	} else {
		a = r.book.List(ctx, wait)
	}
	out := Answer[[]byte]{Outcome: a.Outcome, Version: a.Version}
	for _, c := range a.Changes {
		one := platform.Change[[]byte]{Name: c.Name, Deleted: c.Deleted}
		if !c.Deleted {
			value, err := r.codec.Marshal(c.Value)
			if err != nil {
				return Answer[[]byte]{Outcome: Disconnected}
			}
			one.Value = value
		}
		out.Changes = append(out.Changes, one)
	}
	return out
}
