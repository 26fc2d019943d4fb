package mirror

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// An Outage describes a time in which a Reader had no path to the store: neither a mirror
// nor the store nor another VM answered.
type Outage struct {
	Kind string
	// Lasted is the time from the start of the first read that failed until an answer.
	Lasted time.Duration
	// Age is the age of the objects that the answer led to.
	Age time.Duration
	// Silent counts the questions to other VMs that were not answered, and Rejected those
	// whose answer could not be used.
	Silent, Rejected int
	// StoreCalls counts the failed calls to the store, and Deferred the reads that left the
	// call to other VMs.
	StoreCalls, Deferred int
	// Path holds the VMs through which the answer came, nearest first; none if it came from
	// the store.
	Path []ident.VMID
}

// An outageLog counts what a Reader tried since the last answer. The zero value is ready
// to use.
type outageLog struct {
	current Outage
	// paths holds the path of the last answer. It outlasts an outage.
	paths pathLog
	// since is when the first read after the last answer that failed began; zero if none
	// failed.
	since time.Time
}

// begin records that the read that began at a time failed.
func (l *outageLog) begin(at time.Time) {
	if l.since.IsZero() {
		l.since = at
	}
}

// countQuestion counts a question to another VM.
func (l *outageLog) countQuestion(result askResult) {
	switch result {
	case silent:
		l.current.Silent++
	case rejected, behind:
		l.current.Rejected++
	case accepted:
	}
}

// end records an answer. It returns the outage that the answer ended, or false if there
// was none.
func (l *outageLog) end(now time.Time, path []ident.VMID) (Outage, bool) {
	o, since := l.current, l.since
	l.current, l.since = Outage{}, time.Time{}
	o.Lasted, o.Path = now.Sub(since), path
	return o, !since.IsZero()
}

// recordAnswer records that a read was answered through the VMs of path.
func (r *Reader[T]) recordAnswer(path []ident.VMID) {
	if o, ok := r.outages.end(r.time(), path); ok && r.OutageEnded != nil {
		o.Kind, o.Age = r.Kind(), r.cache.freshness(r.time()).Age
		r.OutageEnded(o)
	}
	if from, ok := r.outages.paths.record(path); ok && r.outages.paths.changed != nil {
		r.outages.paths.changed(PathChange{r.Kind(), from, path, r.cache.Version()})
	}
}
