// Package operator carries out changes that operators ask for: a conditional
// update of the one configuration object on the platform, so that of two
// racing operators one wins and the other is told who did.
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
	// Refused means that the change is not allowed; nothing changed.
	Refused Kind = "refused"
	// Conflict means that another change came first; nothing changed.
	Conflict Kind = "conflict"
	// Unreachable means that the platform took nothing.
	Unreachable Kind = "platform-unreachable"
	// Unknown means that the change may have taken effect; send it again with
	// the same ID to learn.
	Unknown Kind = "unknown"
)

// An Error is a change that was not accepted, as far as is known.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Winner is the change that came first, for Conflict.
	Winner *config.Change
}

func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// A Updater carries out changes. All fields must be set.
type Updater struct {
	Store      platform.Store
	Deployment platform.Deployment
	Fleet      config.Fleet
	// InForce returns the configuration in force on this VM.
	InForce func(context.Context) config.Configuration
}

// A Result is an accepted change.
type Result struct {
	Configuration config.Configuration
	// Before is the configuration that the change was applied to.
	Before config.Configuration
	// DoneBefore is true when an earlier send of the change was accepted.
	DoneBefore bool
}

// Apply carries out a change that an operator based on a version.
func (d *Updater) Apply(ctx context.Context, ch config.Change, basedOn ident.Version) (Result, error) {
	op := string(ch.Kind)
	if ch.ID == "" {
		return Result{}, &Error{Op: op, Kind: Refused, Err: errors.New("the change has no id")}
	}
	current, at, err := d.read(ctx)
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
	if err := d.Fleet.Check(&next, ch); err != nil {
		return Result{}, &Error{Op: op, Kind: Refused, Err: err}
	}
	return d.write(ctx, ch, current, next, at)
}

// read returns the newest configuration that the store or this VM knows, and
// the store's version to replace. A store that lost versions is thereby
// repaired by the next change.
func (d *Updater) read(ctx context.Context) (config.Configuration, platform.StoreVersion, error) {
	o, err := d.Store.Get(ctx, d.object())
	if err != nil {
		return config.Configuration{}, 0, err
	}
	stored, err := codec.UnmarshalConfiguration(o.Value)
	if err != nil {
		return config.Configuration{}, 0, err
	}
	if known := d.InForce(ctx); known.Version > stored.Version {
		return known, o.Version, nil
	}
	return stored, o.Version, nil
}

func (d *Updater) object() string { return d.Deployment.Object(platform.ConfigurationObject) }

func (d *Updater) write(ctx context.Context, ch config.Change, before, next config.Configuration, at platform.StoreVersion) (Result, error) {
	op := string(ch.Kind)
	value, err := codec.MarshalConfiguration(&next)
	if err != nil {
		return Result{}, &Error{Op: op, Kind: Refused, Err: err}
	}
	_, err = d.Store.Put(ctx, d.object(), value, at)
	if err == nil {
		return Result{Configuration: next, Before: before}, nil
	}
	var e *platform.Error
	errors.As(err, &e)
	if e != nil && (e.Kind == platform.Unreachable || e.Kind == platform.Limited) {
		return Result{}, &Error{Op: op, Kind: Unreachable, Err: err}
	}
	return d.learn(ctx, ch, before, err)
}

// learn finds out what became of a write that conflicted or whose answer was
// lost.
func (d *Updater) learn(ctx context.Context, ch config.Change, before config.Configuration, cause error) (Result, error) {
	op := string(ch.Kind)
	current, _, err := d.read(ctx)
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

// conflict names the first change after the version that the operator saw.
func conflict(op string, current config.Configuration, basedOn ident.Version) error {
	e := &Error{Op: op, Kind: Conflict}
	for i := range current.History {
		if current.History[i].Version == basedOn+1 {
			e.Winner = &current.History[i]
		}
	}
	if w := e.Winner; w != nil {
		e.Err = fmt.Errorf("version %d is in force, not %d: %s %s by %s came first", current.Version, basedOn, w.Kind, w.Subject, w.Who)
	} else {
		e.Err = fmt.Errorf("version %d is in force, not %d", current.Version, basedOn)
	}
	return e
}
