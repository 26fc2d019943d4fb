// Package passage holds requests and replies that pass through a VM whole. The
// decisions carry them and do not look inside.
package passage

// A Field is one header field, in the order in which it came.
type Field struct{ Name, Value string }

// A Request is a caller's request as it goes to a replica. It is never written
// after it is made.
type Request struct {
	// ID is the caller's id of this attempt; replies repeat it.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller wrote them.
	Target string
	// Header has no field that concerns one connection only.
	Header []Field
	Body   []byte
}

// A Reply is a replica's whole reply.
type Reply struct {
	Status int
	// Header has no field that concerns one connection only.
	Header []Field
	Body   []byte
	// Digest is the replica's own digest of its reply; empty without one.
	Digest string
}
