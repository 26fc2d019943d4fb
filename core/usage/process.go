package usage

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// processTime is how long the process of a VM that left the list is remembered, since a
// message of an earlier process may still arrive.
const processTime = time.Minute

// A process is the latest known process of another VM.
type process struct {
	incarnation ident.Incarnation
	seenAt      ident.Instant
}

// current reports whether a message is of the latest known process of a VM. When a later
// process is seen, the loans of the earlier ones are dropped.
func (l *Ledger) current(now ident.Instant, vm ident.VMID, incarnation ident.Incarnation) bool {
	known := l.processes[vm]
	if incarnation < known.incarnation {
		return false
	}
	l.processes[vm] = process{incarnation, now}
	if incarnation > known.incarnation {
		l.dropShares(now, vm)
	}
	return true
}

// forgetProcesses removes the VMs that have not been listed for long.
func (l *Ledger) forgetProcesses(now ident.Instant, listed map[ident.VMID]bool) {
	for vm, p := range l.processes {
		if !listed[vm] && now.Sub(p.seenAt) > processTime {
			delete(l.processes, vm)
		}
	}
}

// dropShares removes the shares of a VM from all pools.
func (l *Ledger) dropShares(now ident.Instant, vm ident.VMID) {
	for _, a := range l.accounts {
		if a.pool != nil {
			a.pool.drop(now, vm)
		}
	}
}
