package poison

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// confirmWithin is the longest time from a broken connection to the end of the replica
	// for which the request that ran is held responsible. A crashed replica is removed from
	// the list after three missed heartbeats.
	confirmWithin = 10 * time.Second
	// maxProcesses bounds the processes with losses, and maxLosses the losses of each.
	maxProcesses = 10_000
	maxLosses    = 64
)

// A Process identifies one process of a replica.
type Process struct {
	Service     ident.ServiceID
	Replica     ident.ReplicaID
	Incarnation ident.Incarnation
}

type loss struct {
	request Fingerprint
	at      ident.Instant
}

// Losses holds the requests whose connection broke while a replica ran them. A lost reply
// and a crash break a connection alike; only after a crash the replica is gone too. The
// zero value is empty and ready to use.
type Losses struct {
	// byProcess has at most maxProcesses entries, with 1 to maxLosses losses each, oldest
	// first.
	byProcess map[Process][]loss
}

// Len returns the number of processes with losses.
func (l *Losses) Len() int { return len(l.byProcess) }

// Record records that the connection to a replica broke while it ran a request.
func (l *Losses) Record(now ident.Instant, p Process, f Fingerprint) {
	if l.byProcess == nil {
		l.byProcess = map[Process][]loss{}
	}
	if len(l.byProcess) >= maxProcesses {
		l.expire(now)
	}
	losses := l.byProcess[p]
	if len(losses) == 0 && len(l.byProcess) >= maxProcesses {
		return
	}
	if len(losses) == maxLosses {
		losses = losses[1:]
	}
	l.byProcess[p] = append(losses, loss{f, now})
}

// Clear removes the losses of a replica that replied later or that leaves as planned.
func (l *Losses) Clear(p Process) { delete(l.byProcess, p) }

// Processes calls yield for each process with losses, in unspecified order, until yield
// returns false. yield may call End and Clear for that process.
func (l *Losses) Processes(yield func(Process) bool) {
	for p := range l.byProcess {
		if !yield(p) {
			return
		}
	}
}

// End removes a process that is gone and returns the requests that may have crashed it.
func (l *Losses) End(now ident.Instant, p Process) []Fingerprint {
	var out []Fingerprint
	for _, loss := range l.byProcess[p] {
		if now.Sub(loss.at) <= confirmWithin {
			out = append(out, loss.request)
		}
	}
	delete(l.byProcess, p)
	return out
}

// expire removes the processes whose losses are all older than confirmWithin.
func (l *Losses) expire(now ident.Instant) {
	for p, losses := range l.byProcess {
		if now.Sub(losses[len(losses)-1].at) > confirmWithin {
			delete(l.byProcess, p)
		}
	}
}
