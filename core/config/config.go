// Package config holds the configuration that operators control: the presets, the
// preset in force, and the availability zones and VMs that are out of service. It
// decides whether a change is accepted. A Configuration is immutable.
package config

import (
	"errors"
	"fmt"
	"slices"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
)

// HistoryLength is the number of changes kept in a Configuration.
const HistoryLength = 64

// A ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of Change; "out" takes a zone or VM out of service, "in" returns it to
// service.
const (
	PutPreset    ChangeKind = "put-preset"
	SwitchPreset ChangeKind = "switch-preset"
	ZoneOut      ChangeKind = "zone-out"
	ZoneIn       ChangeKind = "zone-in"
	VMOut        ChangeKind = "vm-out"
	VMIn         ChangeKind = "vm-in"
)

// A ChangeID is chosen by the operator's client and identifies a change that is
// sent repeatedly.
type ChangeID string

// A Change leads from one version of the configuration to the next.
type Change struct {
	ID ChangeID
	// Version is the resulting version; 0 until the change is accepted.
	Version ident.Version
	Kind    ChangeKind
	// Subject names the preset, zone or VM.
	Subject string
	// Preset is the new preset for PutPreset.
	Preset   preset.Preset
	Who, Why string
	At       ident.Instant
	// Force accepts a change that leaves too little capacity.
	Force bool
}

// A Configuration is one version of the configuration that operators control.
type Configuration struct {
	// Version is 0 for no configuration and increases by one with each change.
	Version ident.Version
	// Presets have distinct names.
	Presets []preset.Preset
	// InForce names one of Presets.
	InForce  ident.PresetName
	ZonesOut []ident.ZoneID
	// VMsOut contains the names of entry VMs and of upstream replicas.
	VMsOut []string
	// History holds the latest changes, oldest first. The Version of the last one
	// equals Version.
	History []Change
}

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	Invalid       Kind = "invalid"
	Unknown       Kind = "unknown-name"
	NoEffect      Kind = "no-effect"
	Capacity      Kind = "too-little-capacity"
	OutOfSequence Kind = "out-of-sequence"
)

// An Error states why a configuration or a change was not accepted.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("config: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// First returns version 1 with the given presets, or an error if they are not
// valid.
func First(presets []preset.Preset, inForce ident.PresetName) (Configuration, error) {
	c := Configuration{Version: 1, InForce: inForce}
	for i := range presets {
		p := presets[i]
		if err := p.Check(); err != nil {
			return c, &Error{"first", Invalid, err}
		}
		if c.Preset(p.Name) != nil {
			return c, &Error{"first", Invalid, fmt.Errorf("two presets have the name %q", p.Name)}
		}
		c.Presets = append(c.Presets, p)
	}
	if c.Preset(inForce) == nil {
		return c, &Error{"first", Unknown, fmt.Errorf("preset %q does not exist, the presets are %v", inForce, c.Names())}
	}
	return c, nil
}

// Preset returns the preset with the name, or nil.
func (c *Configuration) Preset(name ident.PresetName) *preset.Preset {
	for i := range c.Presets {
		if c.Presets[i].Name == name {
			return &c.Presets[i]
		}
	}
	return nil
}

// Current returns the preset in force, or nil for an empty configuration.
func (c *Configuration) Current() *preset.Preset { return c.Preset(c.InForce) }

// Names returns the names of the presets.
func (c *Configuration) Names() []ident.PresetName {
	var names []ident.PresetName
	for i := range c.Presets {
		names = append(names, c.Presets[i].Name)
	}
	return names
}

// ZoneIsOut reports whether operators took the zone out of service.
func (c *Configuration) ZoneIsOut(z ident.ZoneID) bool { return slices.Contains(c.ZonesOut, z) }

// VMIsOut reports whether operators took the VM or replica out of service.
func (c *Configuration) VMIsOut(name string) bool { return slices.Contains(c.VMsOut, name) }

// Find returns the change with the ID if it is in the history.
func (c *Configuration) Find(id ChangeID) (Change, bool) {
	for _, ch := range c.History {
		if ch.ID == id {
			return ch, true
		}
	}
	return Change{}, false
}

// Since returns the changes that lead from version v to c, or false when v is 0 or
// the history lacks some of them.
func (c *Configuration) Since(v ident.Version) ([]Change, bool) {
	if v >= c.Version {
		return nil, true
	}
	missing := int(c.Version - v)
	if v == 0 || missing > len(c.History) {
		return nil, false
	}
	return c.History[len(c.History)-missing:], true
}

// Apply returns the configuration after the change. The change's Version must be
// the next one or 0. The receiver is not changed.
func (c Configuration) Apply(ch Change) (Configuration, error) {
	if ch.Version != 0 && ch.Version != c.Version+1 {
		return c, &Error{string(ch.Kind), OutOfSequence, fmt.Errorf("version %d does not follow %d", ch.Version, c.Version)}
	}
	next := c
	if err := next.apply(ch); err != nil {
		return c, err
	}
	next.Version++
	ch.Version = next.Version
	next.History = append(slices.Clone(c.History), ch)
	if excess := len(next.History) - HistoryLength; excess > 0 {
		next.History = next.History[excess:]
	}
	return next, nil
}

func (c *Configuration) apply(ch Change) error {
	op := string(ch.Kind)
	if ch.Subject == "" {
		return &Error{op, Invalid, errors.New("the name of the preset, zone or VM is empty")}
	}
	switch ch.Kind {
	case PutPreset:
		return c.putPreset(ch)
	case SwitchPreset:
		name := ident.PresetName(ch.Subject)
		if c.Preset(name) == nil {
			return &Error{op, Unknown, fmt.Errorf("preset %q does not exist, the presets are %v", name, c.Names())}
		}
		if c.InForce == name {
			return &Error{op, NoEffect, fmt.Errorf("preset %q is already in force", name)}
		}
		c.InForce = name
		return nil
	case ZoneOut, ZoneIn:
		zones, err := addOrRemove(c.ZonesOut, ident.ZoneID(ch.Subject), ch.Kind == ZoneOut)
		c.ZonesOut = zones
		return noEffectError(op, err)
	case VMOut, VMIn:
		vms, err := addOrRemove(c.VMsOut, ch.Subject, ch.Kind == VMOut)
		c.VMsOut = vms
		return noEffectError(op, err)
	}
	return &Error{op, Invalid, fmt.Errorf("kind of change %q is not supported", ch.Kind)}
}

func (c *Configuration) putPreset(ch Change) error {
	if err := ch.Preset.Check(); err != nil {
		return &Error{string(ch.Kind), Invalid, err}
	}
	if string(ch.Preset.Name) != ch.Subject {
		return &Error{string(ch.Kind), Invalid, fmt.Errorf("the preset has the name %q, but the change is for %q", ch.Preset.Name, ch.Subject)}
	}
	presets := slices.Clone(c.Presets)
	i := slices.IndexFunc(presets, func(p preset.Preset) bool { return p.Name == ch.Preset.Name })
	if i < 0 {
		presets = append(presets, ch.Preset)
	} else {
		presets[i] = ch.Preset
	}
	c.Presets = presets
	return nil
}

// addOrRemove returns a copy of out with name added or removed, or an error when
// that has no effect.
func addOrRemove[T ~string](out []T, name T, add bool) ([]T, error) {
	i := slices.Index(out, name)
	switch {
	case add && i >= 0:
		return out, fmt.Errorf("%q is already out of service", name)
	case !add && i < 0:
		return out, fmt.Errorf("%q is already in service", name)
	case add:
		return append(slices.Clone(out), name), nil
	default:
		return slices.Delete(slices.Clone(out), i, i+1), nil
	}
}

// noEffectError returns err as an Error of kind NoEffect, or nil for a nil err.
func noEffectError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{op, NoEffect, err}
}
