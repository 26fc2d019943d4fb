package control

import (
	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/roster"
)

// A MessageKind says what a Message asks for.
type MessageKind string

// The kinds of Message.
const (
	// Probe asks for an Ack of the same Sequence.
	Probe MessageKind = "probe"
	// Ack answers a Probe.
	Ack MessageKind = "ack"
	// Push carries news and asks for nothing.
	Push MessageKind = "push"
	// ProbeRequest asks the receiver to probe Target for the sender.
	ProbeRequest MessageKind = "probe-request"
)

// A Digest summarises what a VM knows.
type Digest struct {
	Configuration ident.Version
	Roster        uint64
}

// A Message is what VMs send each other. Every kind carries the sender's
// digest and pieces that it still has to tell.
type Message struct {
	From     ident.VMID
	Kind     MessageKind
	Sequence uint64
	Digest   Digest
	Members  []roster.Member
	// Changes lead to the sender's version, without a gap; Configuration is
	// set instead when the receiver is too far behind.
	Changes       []config.Change
	Configuration *config.Configuration
	News          []news.Item
	// Target is the VM of a ProbeRequest.
	Target ident.VMID
}
