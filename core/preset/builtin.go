package preset

import "time"

// Builtin returns the presets of a new deployment: for ordinary operation, for
// load peaks and for maintenance.
func Builtin() []Preset {
	ordinary, peak, maintenance := Ordinary(), Ordinary(), Ordinary()
	peak.Name = "peak"
	peak.DefaultDeadline = 300 * time.Millisecond
	peak.ExtraShare = 0.03
	peak.QueueLength = 32
	maintenance.Name = "maintenance"
	maintenance.DefaultDeadline = time.Second
	maintenance.LeastCoverage = 0.3
	return []Preset{ordinary, peak, maintenance}
}

// BuiltinDiscovery returns the presets of a new deployment whose routes come from
// discovery. Each route defines its own deadline, coverage and number of attempts.
// Hedges start earlier than in Builtin because a separate limit applies to extra
// attempts.
func BuiltinDiscovery() []Preset {
	presets := Builtin()
	for i := range presets {
		presets[i].LongestDeadline = MaxDeadline
		presets[i].HedgeQuantile = 0.9
		presets[i].QueriesInFlight = 400
	}
	presets[1].HedgeQuantile = 0.95
	return presets
}
