package mirror

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/watch"
)

const (
	// A wait for changes at the store by a VM that should read from a mirror is limited to
	// minStoreWait, doubled with each read up to maxStoreDoublings times. The VM then asks
	// its mirrors again, which may have started together with it.
	minStoreWait      = time.Second
	maxStoreDoublings = 2
	// reconnectDelay is how long a VM that should read from a mirror pauses after it
	// found the store silent, so that its mirror is the first to read the store when it
	// responds again. It covers a probe and a call.
	reconnectDelay = 600 * time.Millisecond
	// InitialListWait is how long a VM waits for the first listing of its mirror when
	// all VMs start together.
	InitialListWait = time.Second
	// questionWait is how long a VM lets a mirror wait for a change. It is short because a
	// mirror that no longer responds must be detected within the time in which a change must
	// be in force, and longer than the time between two probes of the store, which confirm
	// that there are no changes.
	questionWait = 800 * time.Millisecond
	// maxMirrorWait limits how long a mirror waits for a change before it answers.
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
	// recoveryDelay is how long a VM that should read from a mirror leaves the calls to
	// others after the store responds again. By then a mirror that answered Disconnected is
	// asked again.
	recoveryDelay = disconnectedExclusion
	// storeRetryInterval is the time between two calls to the store of a VM that should
	// read from a mirror, because the store does not serve it. Together with a call that
	// fails and the questions to other VMs, it must fit into the time within which a change
	// must be in force.
	storeRetryInterval = 3 * time.Second
	// overdueRetryInterval replaces storeRetryInterval for a VM whose objects exceed the
	// maximum age.
	overdueRetryInterval = storeRetryInterval / 2
	// A VM that is no scout and whose mirrors answer that they are disconnected calls the
	// store minPathPatience after it lost its path, and up to patienceSpread later the
	// further back it is in the order. By then most have a path through a scout.
	minPathPatience = time.Second
	patienceSpread  = 500 * time.Millisecond
	// maxPath is the most VMs through which a VM reads the store.
	maxPath = 8
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
	// Disconnected states that the asking VM reaches neither the store nor a mirror that
	// is connected. The answer may then come through any VMs but the asking one.
	Disconnected bool
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
	// storeFailedAt is when the last call to the store failed. It is only accessed by List
	// and Changes, which are called one at a time.
	storeFailedAt time.Time
	// storeCalledAt is when the store was last called. It is only accessed by List and
	// Changes.
	storeCalledAt time.Time
	// storeRecoveredAt is when a call found that the store responds again; zero once the
	// store or a mirror was read. It is only accessed by List and Changes.
	storeRecoveredAt time.Time
	// storeErr is the error of the last call to the store; nil if it succeeded. It is only
	// accessed by Changes.
	storeErr error
	// ahead is the VM, no mirror of this one, that answered last that it does not hold the
	// history asked for; zero if none did. It is only accessed by List and Changes.
	ahead Member
	// emptyWatches are the last reads from the store that returned no changes. It is only
	// accessed by Changes.
	emptyWatches emptyWatches
	// storeReads counts the reads from the store since a mirror last answered. It is only
	// accessed by Changes.
	storeReads int
	// pathLostAt is when the VM lost its path to the store; zero while it has one. It is
	// only accessed by List and Changes.
	pathLostAt time.Time
	// Now replaces time.Now unless nil. It must be set before the first read.
	Now func() time.Time
	// MaxAge is the age of the objects beyond which the VM calls the store, whatever other
	// VMs answer: the time since the store is known to have had no others. It bounds the sum
	// of all waits for VMs that are silent or out of date. 0 means no limit.
	MaxAge time.Duration
	// InitialListWait is how long to wait for the first listing of a mirror. It is 0 for
	// a VM that starts while others already run.
	InitialListWait time.Duration
	// Unreadable, if not nil, is called for each object of an answer that cannot be
	// decoded or encoded.
	Unreadable func(kind, name string, err error)
	// ReadThroughOthers, if not nil, is called for an answer of a VM that is no mirror of
	// this one, if it came by another path than the last one or replaces another failure of
	// the store.
	ReadThroughOthers func(Detour)
	// lastDetour is the detour of the last answer; its Path is nil if the last read came
	// from the store or a mirror.
	lastDetour Detour
	// OutageEnded, if not nil, is called with the first answer after a read failed.
	OutageEnded func(Outage)
	// outages is only accessed by List and Changes.
	outages outageLog
}

// A Detour is a read through VMs that are no mirrors of this one.
type Detour struct {
	Kind string
	// Path holds the VMs through which the answer came, nearest first.
	Path []ident.VMID
	// After is the version after which changes were requested, and Version the one that
	// the answer leads to.
	After, Version platform.StoreVersion
	// StoreErr is the error of the call to the store that the answer replaces; nil if the
	// store was not called.
	StoreErr error
}

// NewReader returns a Reader of a source and of the mirrors that selector selects.
func NewReader[T any](source watch.Source[T], codec Codec[T], selector *Selector, transport Transport) *Reader[T] {
	r := &Reader[T]{source: source, codec: codec, selector: selector, transport: transport}
	r.cache.now = r.time
	return r
}

func (r *Reader[T]) time() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// Kind returns the kind of the objects.
func (r *Reader[T]) Kind() string { return r.source.Kind() }

// State describes what the reader would answer and whom it would ask at a time, for
// comparisons in tests.
func (r *Reader[T]) State(now time.Time) string {
	return r.cache.state(now) + r.selector.state(now)
}

// Outdated reports whether the VM has no path to the store, so that the objects may have
// changed since they were read. It may be called from several goroutines.
func (r *Reader[T]) Outdated() bool { return r.cache.outdated() }

// Connected reports whether the last read succeeded, from the store or a mirror. It may be
// called from several goroutines.
func (r *Reader[T]) Connected() bool { return r.cache.isConnected() }

// List returns all objects.
func (r *Reader[T]) List(ctx context.Context) (platform.Listing[T], error) {
	began := r.time()
	if l, ok := r.listAhead(ctx); ok {
		return l, nil
	}
	question := Question{Kind: r.Kind()}
	if r.cache.Version() == 0 {
		question.Wait = r.InitialListWait
	}
	responded, isBehind := r.selector.HasDisconnectedMirror(r.time()), false
	for _, m := range r.selector.Mirrors(r.time()) {
		l, origin, result := r.askListing(ctx, m, question)
		if result == accepted {
			r.cache.SetListing(l, origin)
			r.recordPath()
			r.recordAnswer(origin.Path)
			return l, nil
		}
		responded = responded || result == rejected
		isBehind = isBehind || result == behind
		if r.cache.Version() > 0 && r.isOverdue() {
			break
		}
	}
	// The store is known to be ahead of a mirror that is behind.
	l, err := r.listStoreOrOthers(ctx, responded && !isBehind)
	if err != nil {
		r.cache.MarkUnreachable()
		r.outages.begin(began)
	}
	return l, err
}

// mayCallStore reports whether this VM may call the store now that no mirror is
// connected. If all VMs called it at once, an outage of the store would cost a call of
// each VM whenever the VMs retry. The scouts of each zone call it at once, the others only
// if no other VM responds, if they hold no objects yet, if the store served their last
// read, or if they had no path for long or their objects exceed the maximum age; responded
// is true if a mirror responded.
func (r *Reader[T]) mayCallStore(responded bool) bool {
	if r.selector.IsScout() || !responded || r.cache.Version() == 0 || r.cache.readsStore() {
		return true
	}
	now := r.time()
	if r.isOverdue() && r.storeRecoveredAt.IsZero() && now.Sub(r.storeFailedAt) >= overdueRetryInterval {
		return true
	}
	if r.pathLostAt.IsZero() {
		r.pathLostAt = now
	}
	if !r.storeRecoveredAt.IsZero() {
		return now.Sub(r.storeRecoveredAt) >= recoveryDelay
	}
	before, vms := r.selector.Position()
	patience := minPathPatience + time.Duration(float64(patienceSpread)*float64(before)/float64(max(vms, 1)))
	return now.Sub(r.pathLostAt) >= patience && now.Sub(r.storeCalledAt) >= storeRetryInterval
}

// recordStoreFailure records the error of a call to the store.
func (r *Reader[T]) recordStoreFailure(err error) {
	r.outages.current.StoreCalls++
	if isWatchError(err, watch.Recovered) {
		r.storeRecoveredAt = r.time()
		return
	}
	r.storeFailedAt = r.time()
}

// recordPath records that a mirror or the store was read.
func (r *Reader[T]) recordPath() { r.pathLostAt, r.storeRecoveredAt = time.Time{}, time.Time{} }

// Changes waits for changes after a version. It returns none if there are none within
// wait.
func (r *Reader[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) (changes []platform.Change[T], version platform.StoreVersion, err error) {
	began := r.time()
	a, origin, ok, asked, responded := r.askMirrors(ctx, after, wait)
	if ok {
		r.storeReads = 0
		r.recordPath()
		if a.Outcome == Compacted {
			return nil, after, compacted()
		}
		r.cache.Apply(a.Changes, a.Version, origin)
		r.lastDetour = Detour{}
		r.recordAnswer(a.Path)
		return a.Changes, a.Version, nil
	}
	if asked > 0 && !r.cache.fromStore() {
		// The remaining calls do not wait, so that the VMs that read through this one soon
		// receive its state.
		wait = 0
	}
	callStore := r.shouldReadStore(responded > 0 || r.selector.HasDisconnectedMirror(began))
	if !callStore {
		r.outages.current.Deferred++
	}
	changes, version, err = r.readStoreOrOthers(ctx, after, wait, callStore)
	if err == nil || storeAnswered(err) {
		return changes, version, err
	}
	r.cache.MarkUnreachable()
	r.outages.begin(began)
	switch {
	case r.selector.ReadsStore():
	case isWatchError(err, watch.Silent):
		clock.Sleep(ctx, reconnectDelay)
	case isWatchError(err, watch.Recovered) && !r.selector.IsScout():
		clock.Sleep(ctx, recoveryDelay)
	}
	return nil, after, err
}

// shouldReadStore reports whether to call the store now that no mirror is connected;
// responded is true if one responded.
func (r *Reader[T]) shouldReadStore(responded bool) bool {
	if r.selector.ReadsStore() {
		return true
	}
	if r.cache.isRelayed() && r.storeRecoveredAt.IsZero() && r.time().Sub(r.storeFailedAt) < storeRetryInterval {
		return false
	}
	return r.mayCallStore(responded)
}

// Answer answers a question of another VM.
func (r *Reader[T]) Answer(ctx context.Context, q Question) Answer[[]byte] {
	wait := min(q.Wait, maxMirrorWait)
	var a Answer[T]
	switch {
	case q.Disconnected:
		a = r.cache.relay(ctx, q.After, wait)
	case q.After > 0:
		a = r.cache.Changes(ctx, q.After, wait)
	default:
		a = r.cache.List(ctx, wait)
	}
	out := Answer[[]byte]{Outcome: a.Outcome, Version: a.Version, Path: a.Path, Confirmed: a.Confirmed}
	for _, c := range a.Changes {
		encoded := platform.Change[[]byte]{Name: c.Name, Deleted: c.Deleted}
		if !c.Deleted {
			value, err := r.codec.Marshal(c.Value)
			if err != nil {
				r.reportUnreadable(c.Name, err)
			}
			encoded.Value, encoded.Deleted = value, err != nil
		}
		out.Changes = append(out.Changes, encoded)
	}
	return out
}
