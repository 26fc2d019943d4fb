package control

import (
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/roster"
)

// A MessageKind is the type of a Message.
type MessageKind string

// The kinds of Message.
const (
	// Probe requests an Ack with the same Sequence.
	Probe MessageKind = "probe"
	// Ack answers a Probe.
	Ack MessageKind = "ack"
	// Push carries updates and requires no answer.
	Push MessageKind = "push"
	// ProbeRequest asks the receiver to probe Target for the sender.
	ProbeRequest MessageKind = "probe-request"
)

// A Digest summarises the state of a VM: the version of its configuration and the
// hash of its roster.
type Digest struct {
	Configuration ident.Version
	Roster        uint64
}

// A Message is sent from one VM to another. Every kind carries the sender's digest
// and any members and news that are queued for sending.
type Message struct {
	From     ident.VMID
	Kind     MessageKind
	Sequence uint64
	Digest   Digest
	Members  []roster.Member
	// Changes are consecutive and end at the sender's version. Configuration is
	// set instead if the receiver is too far behind.
	Changes       []config.Change
	Configuration *config.Configuration
	News          []news.Item
	// Target is the VM that a ProbeRequest, or the Ack that answers it, refers to.
	Target ident.VMID
}
