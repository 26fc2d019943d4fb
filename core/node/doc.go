// Package node is the decision core of one VM's traffic, and the one seam
// through which a front end drives it.
//
// A front end owns the clock, the transports and the codecs. It tells the Core
// what happened (Arrive, Reply, Cancel, Claimed, Forwarded, Install, Tick), and
// after each call it takes the typed actions that Drain returns and carries
// them out. Wake says when Tick is due. A Core belongs to one goroutine. With
// the same events, times and random source it returns the same actions, so
// many nodes can run in one process under virtual time.
package node
