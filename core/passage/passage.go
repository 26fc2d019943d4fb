// Package passage defines the complete requests and replies that a VM forwards. The
// decision code passes them on without interpreting them.
package passage

// A Field is one header field. Headers keep the order in which fields arrived.
type Field struct{ Name, Value string }

// A Request is a caller's request as it is sent to a replica. It is immutable.
type Request struct {
	// ID is the caller's ID of this attempt; the reply contains the same ID.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	// Header contains no hop-by-hop fields.
	Header []Field
	Body   []byte
}

// A Reply is a complete reply of a replica.
type Reply struct {
	Status int
	// Header contains no hop-by-hop fields.
	Header []Field
	Body   []byte
	// Digest is the digest that the replica sent with its reply; empty if none.
	Digest string
}
