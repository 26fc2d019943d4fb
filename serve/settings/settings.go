// Package settings reads and checks the settings file of one process.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"buf.build/go/protoyaml"
	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/schema"
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// Unreadable means that the file could not be read.
	Unreadable Kind = "unreadable"
	// Syntax means that the file is not YAML or does not match the schema.
	Syntax Kind = "syntax"
	// Invalid means that a field's value is not allowed.
	Invalid Kind = "invalid"
)

// An Error states what is wrong with a settings file; Op is the file's path. For
// Invalid, Err joins one error for each invalid field, with the field's path, the value
// found and the values allowed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("settings %s: %s:\n  %s", e.Op, e.Kind, strings.ReplaceAll(e.Err.Error(), "\n", "\n  "))
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads a settings file and checks it.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{path, Unreadable, err}
	}
	return Parse(path, text)
}

// Parse decodes settings from YAML and checks them. The path appears in errors.
func Parse(path string, text []byte) (*Settings, error) {
	var m schema.Settings
	options := protoyaml.UnmarshalOptions{Path: path}
	if err := options.Unmarshal(text, &m); err != nil {
		return nil, &Error{path, Syntax, err}
	}
	return FromMessage(path, &m)
}

// FromMessage checks settings that were not read from YAML and returns a copy of them
// with defaults filled in. The path appears in errors.
func FromMessage(path string, m *schema.Settings) (*Settings, error) {
	s := &Settings{Message: proto.Clone(m).(*schema.Settings)}
	s.setDefaults()
	if errs := s.check(); len(errs) > 0 {
		return nil, &Error{path, Invalid, errors.Join(errs...)}
	}
	return s, nil
}

// ParsePreset decodes one preset from YAML. It does not check the values.
func ParsePreset(path string, text []byte) (*schema.Preset, error) {
	var m schema.Preset
	options := protoyaml.UnmarshalOptions{Path: path}
	if err := options.Unmarshal(text, &m); err != nil {
		return nil, &Error{path, Syntax, err}
	}
	return &m, nil
}

// Format encodes settings as YAML.
func Format(m *schema.Settings) ([]byte, error) {
	return protoyaml.MarshalOptions{Indent: 2}.Marshal(m)
}
