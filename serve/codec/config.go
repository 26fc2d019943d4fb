// Package codec converts between the typed values of the decision code and the
// generated protobuf messages. It contains no decisions.
//
// For a type X, the function X converts a message to the typed value, XMessage
// converts the value to a message, and MarshalX and UnmarshalX convert it to and from
// bytes. Search and Booking convert requests, and SearchAnswer, BookingAnswer,
// RelayedAnswer and Refusal convert answers to messages.
package codec

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/schema"
)

// Preset returns the preset in a message.
func Preset(m *schema.Preset) preset.Preset {
	return preset.Preset{
		Name:             ident.PresetName(m.GetName()),
		DefaultDeadline:  m.GetDefaultDeadline().AsDuration(),
		LongestDeadline:  m.GetLongestDeadline().AsDuration(),
		WantedCoverage:   ident.Share(m.GetWantedCoverage()),
		LeastCoverage:    ident.Share(m.GetLeastCoverage()),
		ExtraShare:       ident.Share(m.GetExtraShare()),
		FaultExtraShare:  ident.Share(m.GetFaultExtraShare()),
		HedgeQuantile:    ident.Share(m.GetHedgeQuantile()),
		AttemptsPerShard: int(m.GetAttemptsPerShard()),
		RampStep:         m.GetRampStep().AsDuration(),
		QueueLength:      int(m.GetQueueLength()),
		QueriesInFlight:  int(m.GetQueriesInFlight()),
		Classes:          convertAll[ident.ClassID](m.GetClasses()),
	}
}

// PresetMessage returns the message for a preset.
func PresetMessage(p *preset.Preset) *schema.Preset {
	return &schema.Preset{
		Name:             string(p.Name),
		DefaultDeadline:  durationpb.New(p.DefaultDeadline),
		LongestDeadline:  durationpb.New(p.LongestDeadline),
		WantedCoverage:   float64(p.WantedCoverage),
		LeastCoverage:    float64(p.LeastCoverage),
		ExtraShare:       float64(p.ExtraShare),
		FaultExtraShare:  float64(p.FaultExtraShare),
		HedgeQuantile:    float64(p.HedgeQuantile),
		AttemptsPerShard: uint32(p.AttemptsPerShard),
		RampStep:         durationpb.New(p.RampStep),
		QueueLength:      uint32(p.QueueLength),
		QueriesInFlight:  uint32(p.QueriesInFlight),
		Classes:          convertAll[string](p.Classes),
	}
}

// convertAll converts the elements of a slice to another string type. It returns nil
// for nil.
func convertAll[T, F ~string](from []F) []T {
	if from == nil {
		return nil
	}
	to := make([]T, len(from))
	for i, v := range from {
		to[i] = T(v)
	}
	return to
}

// Change returns the change in a message.
func Change(m *schema.Change) config.Change {
	c := config.Change{
		ID: config.ChangeID(m.GetId()), Version: ident.Version(m.GetVersion()),
		Kind: config.ChangeKind(m.GetKind()), Subject: m.GetSubject(),
		Who: m.GetWho(), Why: m.GetWhy(), Force: m.GetForce(),
		At: ident.Instant(m.GetAtMs()) * ident.Instant(time.Millisecond),
	}
	if m.GetPreset() != nil {
		c.Preset = Preset(m.GetPreset())
	}
	return c
}

// ChangeMessage returns the message for a change.
func ChangeMessage(c *config.Change) *schema.Change {
	m := &schema.Change{
		Id: string(c.ID), Version: uint32(c.Version), Kind: string(c.Kind), Subject: c.Subject,
		Who: c.Who, Why: c.Why, Force: c.Force, AtMs: int64(c.At) / int64(time.Millisecond),
	}
	if c.Kind == config.PutPreset {
		m.Preset = PresetMessage(&c.Preset)
	}
	return m
}

// Configuration returns the configuration in a message.
func Configuration(m *schema.Configuration) config.Configuration {
	c := config.Configuration{
		Version: ident.Version(m.GetVersion()), InForce: ident.PresetName(m.GetInForce()),
		ZonesOut: convertAll[ident.ZoneID](m.GetZonesOut()), VMsOut: m.GetVmsOut(),
	}
	for _, p := range m.GetPresets() {
		c.Presets = append(c.Presets, Preset(p))
	}
	for _, ch := range m.GetHistory() {
		c.History = append(c.History, Change(ch))
	}
	return c
}

// ConfigurationMessage returns the message for a configuration.
func ConfigurationMessage(c *config.Configuration) *schema.Configuration {
	m := &schema.Configuration{
		Version: uint32(c.Version), InForce: string(c.InForce),
		ZonesOut: convertAll[string](c.ZonesOut), VmsOut: c.VMsOut,
	}
	for i := range c.Presets {
		m.Presets = append(m.Presets, PresetMessage(&c.Presets[i]))
	}
	for i := range c.History {
		m.History = append(m.History, ChangeMessage(&c.History[i]))
	}
	return m
}

// MarshalConfiguration encodes a configuration for the store.
func MarshalConfiguration(c *config.Configuration) ([]byte, error) {
	return proto.Marshal(ConfigurationMessage(c))
}

// UnmarshalConfiguration decodes a configuration from the store.
func UnmarshalConfiguration(b []byte) (config.Configuration, error) {
	var m schema.Configuration
	if err := proto.Unmarshal(b, &m); err != nil {
		return config.Configuration{}, err
	}
	return Configuration(&m), nil
}
