package booking

import (
	"strconv"
	"strings"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	ticketPrefix = "ticket."
	maxKeyLength = 128
	// maxMilliseconds keeps the time of a key within the range of an Instant.
	maxMilliseconds = 1 << 42
)

// A Ticket is the parsed form of a request key that an entry VM issued.
type Ticket struct {
	VM          ident.VMID
	Incarnation ident.Incarnation
	Number      uint64
}

// Key returns the request key: ticket.VM.INCARNATION.NUMBER.
func (t Ticket) Key() ident.RequestKey {
	return ident.RequestKey(ticketPrefix + string(t.VM) + "." +
		strconv.FormatUint(uint64(t.Incarnation), 10) + "." + strconv.FormatUint(t.Number, 10))
}

// IsTicket reports whether key has the prefix of a ticket.
func IsTicket(key ident.RequestKey) bool {
	return strings.HasPrefix(string(key), ticketPrefix)
}

// ParseTicket parses key; it returns false unless key is the canonical form of
// a ticket.
func ParseTicket(key ident.RequestKey) (Ticket, bool) {
	if !IsTicket(key) {
		return Ticket{}, false
	}
	fields := strings.Split(strings.TrimPrefix(string(key), ticketPrefix), ".")
	if len(fields) != 3 || fields[0] == "" {
		return Ticket{}, false
	}
	incarnation, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return Ticket{}, false
	}
	number, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil || number == 0 {
		return Ticket{}, false
	}
	t := Ticket{ident.VMID(fields[0]), ident.Incarnation(incarnation), number}
	return t, t.Key() == key
}

// IssuedAt returns the time in a key that a caller chose. Such a key has the form
// MILLISECONDS-TEXT, with the milliseconds since the Unix epoch, so that every
// send of the key has the same issue time.
func IssuedAt(key ident.RequestKey) (ident.Instant, bool) {
	ms, text, ok := strings.Cut(string(key), "-")
	if !ok || text == "" || len(key) > maxKeyLength {
		return 0, false
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || n <= 0 || n > maxMilliseconds {
		return 0, false
	}
	return ident.Instant(n) * ident.Instant(time.Millisecond), true
}
