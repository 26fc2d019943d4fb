package config_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

func initialConfiguration(t *rapid.T) config.Configuration {
	p, q := preset.Ordinary(), preset.Ordinary()
	q.Name = "peak"
	c, err := config.First([]preset.Preset{p, q}, p.Name)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestChangesReplay checks that replaying the changes since any version in the
// history leads to the same state, that each change increases the version by one,
// and that a preset is always in force.
func TestChangesReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := initialConfiguration(t)
		states := map[ident.Version]config.Configuration{c.Version: c}
		for range rapid.IntRange(1, 90).Draw(t, "changes") {
			ch := config.Change{
				Kind: rapid.SampledFrom([]config.ChangeKind{
					config.SwitchPreset, config.ZoneOut, config.ZoneIn, config.VMOut, config.VMIn, config.PutPreset,
				}).Draw(t, "kind"),
				Subject: rapid.SampledFrom([]string{"ordinary", "peak", "baden", "entry-1"}).Draw(t, "subject"),
			}
			if ch.Kind == config.PutPreset {
				ch.Preset = preset.Ordinary()
				ch.Preset.Name = ident.PresetName(ch.Subject)
				ch.Preset.QueueLength = rapid.IntRange(0, 9).Draw(t, "queue")
			}
			next, err := c.Apply(ch)
			if err != nil {
				if next.Version != c.Version {
					t.Fatal("a refused change changed the version")
				}
				continue
			}
			if next.Version != c.Version+1 || next.Current() == nil {
				t.Fatalf("version %d after %d, preset in force %v", next.Version, c.Version, next.Current())
			}
			c = next
			states[c.Version] = c
		}
		for version, old := range states {
			changes, ok := c.Since(version)
			if !ok {
				if c.Version-version <= config.HistoryLength && version != 0 {
					t.Fatalf("the changes since version %d are missing in the history of version %d", version, c.Version)
				}
				continue
			}
			for _, ch := range changes {
				var err error
				if old, err = old.Apply(ch); err != nil {
					t.Fatal(err)
				}
			}
			if old.Version != c.Version || old.InForce != c.InForce || len(old.ZonesOut) != len(c.ZonesOut) {
				t.Fatalf("replay from version %d leads to another state", version)
			}
		}
	})
}

func TestCapacityCheck(t *testing.T) {
	f := config.Fleet{Zones: []ident.ZoneID{"a", "b", "c"}}
	for _, z := range f.Zones {
		f.Replicas = append(f.Replicas, config.FleetReplica{Service: "s", ID: ident.ReplicaID("r-" + z), Zone: z, Slots: 4})
	}
	out := config.Configuration{Version: 3, ZonesOut: []ident.ZoneID{"a", "b"}}
	change := config.Change{Kind: config.ZoneOut, Subject: "b"}
	err := f.Check(&out, change)
	var e *config.Error
	if !errors.As(err, &e) || e.Kind != config.Capacity || !strings.Contains(err.Error(), "4 of 12 slots") {
		t.Fatalf("error is %v, expected too little capacity", err)
	}
	change.Force = true
	if err := f.Check(&out, change); err != nil {
		t.Fatalf("a forced change was refused: %v", err)
	}
	if err := f.Check(&out, config.Change{Kind: config.ZoneOut, Subject: "nosuch", Force: true}); err == nil {
		t.Fatal("a change to an unknown zone was accepted")
	}
}

func TestPresetCheckNamesFields(t *testing.T) {
	p := preset.Ordinary()
	p.HedgeQuantile, p.DefaultDeadline, p.Classes = 2, time.Hour, nil
	err := p.Check()
	for _, field := range []string{"hedge-quantile", "default-deadline", "classes"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Fatalf("the error does not name %s: %v", field, err)
		}
	}
}
