// Package body reads message bodies of other programs within limits: a limit for each
// body and a budget for all bodies that a process holds.
package body

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"carawaycross.example/carawaycross/core/ident"
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// TooLong means that a body exceeds its limit.
	TooLong Kind = "too-long"
	// OverBudget means that the budget has no room for the rest of a body.
	OverBudget Kind = "over-budget"
)

// An Error reports a body that was not read to its end.
type Error struct {
	Op   string
	Kind Kind
	// Limit is the limit or the budget that the body exceeds.
	Limit ident.Bytes
}

func (e *Error) Error() string {
	return fmt.Sprintf("body: %s: %s: allowed: %d bytes", e.Op, e.Kind, e.Limit)
}

// A Budget bounds the bytes that a process holds in bodies, and keeps room for new ones: a
// body beside others may grow to maxShareOfRest times the bytes that are left. However many
// bodies have no end, a small one finds room. The zero value has no bound. Its methods may
// be called from several goroutines.
type Budget struct {
	// limit is the bound; 0 means none.
	limit atomic.Int64
	used  atomic.Int64
	// short is called when little is left; nil if nobody wants to know.
	short atomic.Pointer[func()]
}

// NewBudget returns a Budget with a bound.
func NewBudget(limit ident.Bytes) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit replaces the bound. Bytes that are reserved already stay reserved.
func (b *Budget) SetLimit(limit ident.Bytes) { b.limit.Store(int64(limit)) }

// OnShort makes Reserve call f when less than a quarter of the bound is left, so that others
// can release bytes before bodies are refused. f must return at once.
func (b *Budget) OnShort(f func()) { b.short.Store(&f) }

// warn calls the function of OnShort if used bytes leave little of the limit.
func (b *Budget) warn(limit, used int64) {
	const shortShare = 4
	if f := b.short.Load(); f != nil && limit > 0 && used > limit-limit/shortShare {
		(*f)()
	}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() ident.Bytes { return ident.Bytes(b.used.Load()) }

// A Reserver reserves memory for a body.
type Reserver interface {
	// Reserve reserves n bytes for a body that then takes size bytes, or returns an error
	// and reserves none.
	Reserve(n, size ident.Bytes) error
	// Release returns n reserved bytes.
	Release(n ident.Bytes)
}

// maxShareOfRest bounds a body as a multiple of the bytes that are left beside it. n bodies
// without end then leave 1/(n*maxShareOfRest+1) of the budget.
const maxShareOfRest = 2

// Reserve reserves n bytes for a body that then takes size bytes, or none if there is no
// room.
func (b *Budget) Reserve(n, size ident.Bytes) error {
	for {
		limit, before := b.limit.Load(), b.used.Load()
		used := before + int64(n)
		alone := used == int64(size) && used <= limit
		if limit > 0 && !alone && int64(size) > maxShareOfRest*(limit-used) {
			b.warn(limit, limit)
			return &Error{"read", OverBudget, ident.Bytes(limit)}
		}
		if b.used.CompareAndSwap(before, used) {
			b.warn(limit, used)
			return nil
		}
	}
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n ident.Bytes) { b.used.Add(-int64(n)) }

// minBuffer is the size of the first buffer of a body, which holds most of them.
const minBuffer ident.Bytes = 2 << 10

// Read reads a body of at most limit bytes to its end.
func Read(r io.Reader, limit ident.Bytes) ([]byte, error) {
	text, _, err := ReadWithin(r, limit, &Budget{})
	return text, err
}

// ReadWithin reads a body of at most limit bytes to its end. It returns the number of
// bytes that it reserved in the budget, for a later Release. After an error none are
// reserved. Memory is reserved as bytes arrive, not as the sender announces them.
func ReadWithin[R Reserver](r io.Reader, limit ident.Bytes, budget R) (text []byte, reserved ident.Bytes, err error) {
	defer func() {
		if err != nil {
			budget.Release(reserved)
			text, reserved = nil, 0
		}
	}()
	for {
		if len(text) == cap(text) {
			// One byte above the limit shows whether the body ends there.
			size := min(max(2*ident.Bytes(cap(text)), minBuffer), limit+1)
			if ident.Bytes(len(text)) > limit {
				return text, reserved, &Error{"read", TooLong, limit}
			}
			if err := budget.Reserve(size-reserved, size); err != nil {
				return text, reserved, err
			}
			reserved = size
			text = append(make([]byte, 0, size), text...)
		}
		n, err := r.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case ident.Bytes(len(text)) > limit:
			return text, reserved, &Error{"read", TooLong, limit}
		case errors.Is(err, io.EOF):
			return text, reserved, nil
		case err != nil:
			return text, reserved, err
		}
	}
}
