package model

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"carawaycross.example/carawaycross/serve/mirror"
)

// An ActionKind is what happens in one step of a history.
type ActionKind string

// The kinds of Action.
const (
	// Write changes the store.
	Write ActionKind = "write"
	// Read lets a VM read once.
	Read ActionKind = "read"
	// CutStore and CutVMs cut a link, or repair it if it is cut.
	CutStore ActionKind = "cut-store"
	CutVMs   ActionKind = "cut-vms"
	// Restart replaces a VM by a new incarnation.
	Restart ActionKind = "restart"
	// Pause stops a VM, or resumes it.
	Pause ActionKind = "pause"
	// Shorten removes the first VM from a VM's list, or adds it again.
	Shorten ActionKind = "shorten-list"
	// Wait lets every exclusion of a mirror end.
	Wait ActionKind = "wait"
)

// exclusionTime is longer than any exclusion of a mirror.
const exclusionTime = 6 * time.Second

// An Action is one step of a history. Other is used by CutVMs only.
type Action struct {
	Kind      ActionKind
	VM, Other int
}

// String returns the action as a line of a counter-example.
func (a Action) String() string {
	switch a.Kind {
	case Write, Wait:
		return string(a.Kind)
	case CutVMs:
		return fmt.Sprintf("%s vm-%d vm-%d", a.Kind, a.VM, a.Other)
	default:
		return fmt.Sprintf("%s vm-%d", a.Kind, a.VM)
	}
}

// actions returns every action on n VMs.
func actions(n int) []Action {
	out := []Action{{Kind: Write}, {Kind: Wait}}
	for i := range n {
		for _, k := range []ActionKind{Read, CutStore, Restart, Pause, Shorten} {
			out = append(out, Action{Kind: k, VM: i})
		}
		for j := range i {
			out = append(out, Action{CutVMs, j, i})
		}
	}
	return out
}

// perform performs an action.
func (w *world) perform(a Action) {
	switch a.Kind {
	case Write:
		w.version = min(w.version+1, lastVersion)
	case Wait:
		w.now = w.now.Add(exclusionTime)
	case Read:
		w.step(a.VM)
	case CutStore:
		toggle(w.cut, link{a.VM, storeEnd})
	case CutVMs:
		toggle(w.cut, between(a.VM, a.Other))
	case Restart:
		w.restart(a.VM)
	case Pause:
		toggle(w.paused, a.VM)
	case Shorten:
		toggle(w.short, a.VM)
		w.listMembers(a.VM)
	}
}

func toggle[K comparable](m map[K]bool, key K) {
	if m[key] {
		delete(m, key)
	} else {
		m[key] = true
	}
}

// replay returns the world after a history.
func replay(vms int, history []Action) *world {
	w := newWorld(vms)
	for i := range vms {
		w.step(i)
	}
	for _, a := range history {
		w.perform(a)
	}
	return w
}

// fingerprint identifies the state of a world: worlds with the same one behave alike.
func (w *world) fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, w.version, len(w.broken), w.cut, w.paused, w.short)
	for _, v := range w.vms {
		fmt.Fprint(&b, "|", v.follower.State(), v.held, v.highest, v.knowsFirst, v.reader.State(w.now))
	}
	return b.String()
}

// A Config configures an exploration.
type Config struct {
	// VMs is the number of VMs, at least 2.
	VMs int
	// Depth is the length of the histories that are explored exhaustively, MaxStates the
	// most states that are visited.
	Depth, MaxStates int
	// Walks is the number of random histories of WalkLength actions beyond them.
	Walks, WalkLength int
	Seed              uint64
}

// A Report is the result of an exploration. Broken is empty if every invariant holds;
// otherwise History leads to the violation.
type Report struct {
	States, Walks int
	// Complete is true if all histories up to Depth were explored.
	Complete bool
	// MaxRounds is the largest number of rounds of reads until every VM with a path to
	// the store held the newest version.
	MaxRounds int
	History   []Action
	Broken    []string
}

// Explore visits every state that histories up to a depth lead to, then the states of
// random walks, until an invariant is broken or the context is done.
func Explore(ctx context.Context, c Config) Report {
	r := Report{}
	if r.exploreAll(ctx, c) {
		r.Complete = true
		r.walk(ctx, c)
	}
	return r
}

// exploreAll visits the states that all histories up to the depth lead to. It returns
// false if it stopped before.
func (r *Report) exploreAll(ctx context.Context, c Config) bool {
	all := actions(c.VMs)
	seen := map[string]bool{}
	level := [][]Action{nil}
	for depth := 0; depth <= c.Depth; depth++ {
		var next [][]Action
		for _, history := range level {
			state := replay(c.VMs, history).fingerprint()
			if seen[state] {
				continue
			}
			seen[state] = true
			if ctx.Err() != nil || r.States >= c.MaxStates {
				return false
			}
			r.States++
			if !r.check(c.VMs, history) {
				return false
			}
			for _, a := range all {
				next = append(next, append(slices.Clip(history), a))
			}
		}
		level = next
	}
	return true
}

// walk plays random histories.
func (r *Report) walk(ctx context.Context, c Config) {
	all := actions(c.VMs)
	random := rand.New(rand.NewPCG(c.Seed, 3))
	for ; r.Walks < c.Walks && ctx.Err() == nil; r.Walks++ {
		var history []Action
		for range c.WalkLength {
			history = append(history, all[random.IntN(len(all))])
		}
		if !r.check(c.VMs, history) {
			r.shorten(c.VMs)
			return
		}
	}
}

// check checks the invariants after a history and reports whether they hold.
func (r *Report) check(vms int, history []Action) bool {
	rounds, broken := violations(vms, history)
	r.MaxRounds = max(r.MaxRounds, rounds)
	if len(broken) > 0 {
		r.History, r.Broken = history, broken
	}
	return len(broken) == 0
}

// shorten removes the actions from the history that the violation does not need.
func (r *Report) shorten(vms int) {
	for i := len(r.History) - 1; i >= 0; i-- {
		shorter := slices.Delete(slices.Clone(r.History), i, i+1)
		if _, broken := violations(vms, shorter); len(broken) > 0 {
			r.History, r.Broken = shorter, broken
		}
	}
}

// Replay returns the violations of a history.
func Replay(vms int, history []Action) []string {
	_, broken := violations(vms, history)
	return broken
}

// maxRounds is the bound on the rounds of reads after which every VM with a path to the
// store holds the newest version. Of the at most vms-1 VMs on a path, each takes one
// read, and a second one if it restarted, so that the next VM has to list all objects
// again. One more read finds out that a mirror lost the store.
func maxRounds(vms int) int { return 2*(vms-1) + 1 }

// violations plays a history and then checks that the newest version reaches every VM
// that has a path to the store, first over the links as they are, then over all links.
func violations(vms int, history []Action) (rounds int, broken []string) {
	w := replay(vms, history)
	w.checkAcyclic()
	rounds = w.settle()
	clear(w.cut)
	clear(w.paused)
	clear(w.short)
	for i := range w.vms {
		w.listMembers(i)
	}
	rounds = max(rounds, w.settle())
	calls := w.calls
	w.round()
	if n := w.calls - calls; n != 1 {
		w.report("%d VMs read the store while every link works, expected 1", n)
	}
	return rounds, w.broken
}

// round lets every VM read once after all exclusions have ended.
func (w *world) round() {
	w.now = w.now.Add(exclusionTime)
	for i := range w.vms {
		w.step(i)
	}
}

// settle runs rounds until every VM with a path to the store holds the newest version and
// every other one has noticed that it has none, and returns their number. A VM on a path
// that broke passes that on in one round, so the latter takes a round for each VM.
func (w *world) settle() int {
	limit := maxRounds(len(w.vms))
	for n := 1; n <= limit; n++ {
		calls := w.calls
		w.round()
		// Each VM calls the store at most once in a round: to list, or for changes.
		if w.calls-calls > len(w.vms) {
			w.report("%d calls to the store in one round", w.calls-calls)
		}
		unaware := w.unaware()
		if unaware >= 0 && n >= len(w.vms) {
			w.report("vm-%d has no path to the store and has not noticed after %d rounds", unaware, n)
			return n
		}
		if unaware < 0 && w.behind() < 0 {
			return n
		}
	}
	w.report("vm-%d has a path to the store but not its version %d after %d rounds", w.behind(), w.version, limit)
	return limit
}

// behind returns a VM that has a path to the store and not its newest version, or -1.
func (w *world) behind() int {
	return slices.IndexFunc(w.vms, func(v *vm) bool {
		return !w.paused[v.index] && v.follower.Version() < w.version && w.reaches(v.index)
	})
}

// unaware returns a VM that has no path to the store although its last read succeeded, or
// -1.
func (w *world) unaware() int {
	return slices.IndexFunc(w.vms, func(v *vm) bool {
		return !w.paused[v.index] && !v.failed && !w.reaches(v.index)
	})
}

// checkAcyclic checks that no VM selects itself as a mirror through others.
func (w *world) checkAcyclic() {
	selects := func(i int) []mirror.Member { return w.vms[i].selector.Mirrors(w.now.Add(exclusionTime)) }
	var visit func(i int, path []int) bool
	visit = func(i int, path []int) bool {
		if slices.Contains(path, i) {
			return true
		}
		for _, m := range selects(i) {
			next := slices.IndexFunc(w.members, func(o mirror.Member) bool { return o.VM == m.VM })
			if visit(next, append(path, i)) {
				return true
			}
		}
		return false
	}
	for i := range w.vms {
		if visit(i, nil) {
			w.report("vm-%d selects itself as a mirror", i)
			return
		}
	}
}
