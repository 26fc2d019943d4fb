package settings_test

import (
	"os"
	"strings"
	"testing"

	"carawaycross.example/carawaycross/serve/settings"
)

func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/association.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestInvalidSettingsAreReported checks that the error for an invalid setting contains
// the path of its field, or the reason why the YAML was not decoded.
func TestInvalidSettingsAreReported(t *testing.T) {
	for _, c := range []struct{ original, replacement, wantError string }{
		{"deployment: association", "deployment: [", "yaml"},
		{"deployment: association", "deployment: association\nnosuch: 1", `unknown field "nosuch"`},
		{"timeout: 2s", "timeout: 2parsecs", "unknown unit"},
		{"timeout: 2s", "timeout: 2h", "platform.timeout: found 2h0m0s"},
		{"name: peak", "name: ordinary", "presets[1].name"},
		{"zone: windhoek-north", "zone: atlantis", `vm.zone: found "atlantis"`},
		{"first-preset: ordinary", "first-preset: nosuch", `first-preset: found "nosuch"`},
		{"hedge-quantile: 0.96", "hedge-quantile: 96", "hedge-quantile"},
		{"listen: 127.0.0.1:8080", "listen: localhost", `vm.listen: found "localhost"`},
		{"slots: 4", "slots: 0", "services[0].slots: found 0"},
		{"name: route-planner-1-0", "name: route-planner-0-0", `"route-planner-0-0" twice`},
		{"certificate: keys/entry-0.crt", "certificate: ''", "peers.certificate"},
	} {
		text := strings.Replace(example(t), c.original, c.replacement, 1)
		_, err := settings.Parse("test.yaml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%q: found %v, expected %q", c.replacement, err, c.wantError)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, path := range []string{"../../examples/association.yaml", "../../examples/karaoke.yaml"} {
		s, err := settings.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.InitialConfiguration(); err != nil {
			t.Fatal(err)
		}
	}
}

// FuzzParse checks that no input makes the parser panic.
func FuzzParse(f *testing.F) {
	f.Add("deployment: x\nzones: [a]\n")
	f.Add("vm: {listen: 3}")
	f.Fuzz(func(_ *testing.T, text string) {
		// Errors are expected; only a panic is a failure.
		_, _ = settings.Parse("fuzz.yaml", []byte(text))
	})
}
