// Package operator applies the configuration changes that operators request. A change
// is a conditional update of the single configuration object in the platform's store.
// If two changes conflict, one is accepted and the error for the other names it.
package operator

import (
	"context"
	"errors"
	"fmt"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/codec"
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// Refused means that the change is not valid; nothing was written.
	Refused Kind = "refused"
	// Conflict means that another change was accepted first; nothing was written.
	Conflict Kind = "conflict"
	// Unreachable means that the platform could not be reached or the call budget was
	// used up; nothing was written.
	Unreachable Kind = "platform-unreachable"
	// Unknown means that the change may have taken effect. Sending it again with the
	// same ID is safe and returns the outcome.
	Unknown Kind = "unknown"
)

// An Error states why a change was not accepted, or that its outcome is unknown.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Winner is the change that was accepted first, for Conflict; nil if it is not in
	// the history.
	Winner *config.Change
}

func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// An Updater applies changes to the stored configuration. All fields must be set.
type Updater struct {
	Store      platform.Store
	Deployment platform.Deployment
	Fleet      config.Fleet
	// ConfigurationInForce returns the configuration in force on this VM.
	ConfigurationInForce func(context.Context) config.Configuration
}

// A Result is an accepted change.
type Result struct {
	Configuration config.Configuration
	// Before is the configuration that the change was applied to.
	Before config.Configuration
	// DoneBefore is true if the change was already accepted when it was sent earlier.
	DoneBefore bool
}

// Apply applies a change and writes the resulting configuration to the store. It
// returns a Conflict unless basedOn is the current version.
func (u *Updater) Apply(ctx context.Context, ch config.Change, basedOn ident.Version) (Result, error) {
	op := string(ch.Kind)
	if ch.ID == "" {
		return Result{}, &Error{Op: op, Kind: Refused, Err: errors.New("the change has no id")}
	}
	current, storeVersion, err := u.read(ctx)
	if err != nil {
		return Result{}, &Error{Op: op, Kind: Unreachable, Err: err}
	}
	if _, done := current.Find(ch.ID); done {
		return Result{Configuration: current, Before: current, DoneBefore: true}, nil
	}
	if basedOn != current.Version {
		return Result{}, conflict(op, current, basedOn)
	}
	ch.Version = 0
	next, err := current.Apply(ch)
	if err != nil {
		return Result{}, &Error{Op: op, Kind: Refused, Err: err}
	}
	if err := u.Fleet.Check(&next, ch); err != nil {
		return Result{}, &Error{Op: op, Kind: Refused, Err: err}
	}
	return u.write(ctx, ch, current, next, storeVersion)
}

// read returns the newer of the stored configuration and the one in force on this VM,
// and the store's version to replace. A store that lost versions is therefore
// repaired by the next change.
func (u *Updater) read(ctx context.Context) (config.Configuration, platform.StoreVersion, error) {
	o, err := u.Store.Get(ctx, u.object())
	if err != nil {
		return config.Configuration{}, 0, err
	}
	stored, err := codec.UnmarshalConfiguration(o.Value)
	if err != nil {
		return config.Configuration{}, 0, err
	}
	if inForce := u.ConfigurationInForce(ctx); inForce.Version > stored.Version {
		return inForce, o.Version, nil
	}
	return stored, o.Version, nil
}

// object returns the name of the stored configuration object.
func (u *Updater) object() string { return u.Deployment.Object(platform.ConfigurationObject) }

// write replaces the stored configuration if its version is still storeVersion.
func (u *Updater) write(ctx context.Context, ch config.Change, before, next config.Configuration, storeVersion platform.StoreVersion) (Result, error) {
	op := string(ch.Kind)
	value, err := codec.MarshalConfiguration(&next)
	if err != nil {
		return Result{}, &Error{Op: op, Kind: Refused, Err: err}
	}
	_, err = u.Store.Put(ctx, u.object(), value, storeVersion)
	if err == nil {
		return Result{Configuration: next, Before: before}, nil
	}
	var e *platform.Error
	errors.As(err, &e)
	if e != nil && (e.Kind == platform.Unreachable || e.Kind == platform.Limited) {
		return Result{}, &Error{Op: op, Kind: Unreachable, Err: err}
	}
	return u.resolveOutcome(ctx, ch, before, err)
}

// resolveOutcome reads the configuration again to find out whether the change took effect
// after a write that conflicted or whose response was lost.
func (u *Updater) resolveOutcome(ctx context.Context, ch config.Change, before config.Configuration, cause error) (Result, error) {
	op := string(ch.Kind)
	current, _, err := u.read(ctx)
	if err != nil {
		return Result{}, &Error{Op: op, Kind: Unknown, Err: cause}
	}
	if _, done := current.Find(ch.ID); done {
		return Result{Configuration: current, Before: before}, nil
	}
	if current.Version > before.Version {
		return Result{}, conflict(op, current, before.Version)
	}
	return Result{}, &Error{Op: op, Kind: Unknown, Err: cause}
}

// conflict returns the Error that names the first change after the version on which
// the operator's change is based.
func conflict(op string, current config.Configuration, basedOn ident.Version) error {
	e := &Error{Op: op, Kind: Conflict}
	for i := range current.History {
		if current.History[i].Version == basedOn+1 {
			e.Winner = &current.History[i]
		}
	}
	if winner := e.Winner; winner != nil {
		e.Err = fmt.Errorf("version %d is in force, not %d: %s %s by %s came first", current.Version, basedOn, winner.Kind, winner.Subject, winner.Who)
	} else {
		e.Err = fmt.Errorf("version %d is in force, not %d", current.Version, basedOn)
	}
	return e
}
