package watch

import "fmt"

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// Silent means that the store did not respond to a probe. A call in progress was
	// cancelled and a new one was not made.
	Silent Kind = "silent"
	// Recovered means that the store responds again after it was silent. The call was not
	// made and can be repeated at once.
	Recovered Kind = "recovered"
	// Behind means that a watch did not return changes that the store has.
	Behind Kind = "behind"
)

// An Error is returned by a call to the store that was not made or was cancelled.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("watch: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
