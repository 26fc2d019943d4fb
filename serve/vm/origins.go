package vm

import (
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/serve/mirror"
)

// withOrigin adds the age of objects and the path by which they came to a line.
func withOrigin(line *zerolog.Event, f mirror.Freshness) *zerolog.Event {
	return line.Int64("age-ms", ageMillis(f.Age)).Strs("path", vmNames(f.Path))
}

// ageMillis returns an age in milliseconds, or -1 without any objects.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

func vmNames(path []ident.VMID) []string {
	names := make([]string, len(path))
	for i, vm := range path {
		names[i] = string(vm)
	}
	return names
}

func (v *VM) logPathChange(c mirror.PathChange) {
	v.log.Info().Str("kind", c.Kind).Strs("from", vmNames(c.From)).Strs("to", vmNames(c.To)).
		Uint64("version", uint64(c.Version)).Msg("path-changed")
}
