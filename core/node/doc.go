// Package node decides how one VM handles its traffic: admission, choice of
// replicas, retries, hedges, and the answers to callers.
//
// A front end owns the clock, the transports and the codecs. It passes events to
// the Core (Arrive, Reply, Cancel, Claimed, Forwarded, Install, Tick). After each
// call it takes the typed actions that Drain returns and performs them. Wake
// returns when Tick is due. Only one goroutine may use a Core. With the same events,
// times and random source it returns the same actions, so many nodes can run in
// one process under virtual time.
//
// There are three kinds of request. A search goes to every shard of a service. A
// booking may run at most once and carries a request key. A routed request is
// proxied unchanged along a configured route. Each request becomes a query with
// one part per shard, and each part makes one or more attempts.
package node
