package preset

import "time"

// Builtin returns the presets of a new deployment: one for ordinary days, one
// for peaks and one for maintenance.
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
// discovery. Deadlines, coverage and attempts are the routes' own; a hedge
// starts earlier, since the extra attempts have a bound of their own.
func BuiltinDiscovery() []Preset {
	all := Builtin()
	for i := range all {
		all[i].LongestDeadline = LongestDeadline
		all[i].HedgeQuantile = 0.9
		all[i].QueriesInFlight = 400
	}
	all[1].HedgeQuantile = 0.95
	return all
}
