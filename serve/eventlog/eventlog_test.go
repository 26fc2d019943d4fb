package eventlog_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/serve/eventlog"
)

// slowWriter delays each write by a millisecond, like a pipe with a slow reader.
type slowWriter struct {
	mu    sync.Mutex
	lines int
	text  bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines++
	return w.text.Write(b)
}

// TestFloodIsBoundedAndNeverBlocks logs a burst of lines to a slow writer, as
// when every request fails at ten times the usual load. It checks that the
// caller is not blocked, that the rate limit holds, and that every line is
// either written or counted as dropped.
func TestFloodIsBoundedAndNeverBlocks(t *testing.T) {
	out := &slowWriter{}
	log := eventlog.New(out)
	logger := log.Logger(zerolog.InfoLevel)
	const lines = 20_000
	longest := time.Duration(0)
	began := time.Now()
	for i := range lines {
		sent := time.Now()
		logger.Info().Int("n", i).Msg("request-refused")
		longest = max(longest, time.Since(sent))
	}
	took := time.Since(began)
	log.Close()
	seconds := int(took/time.Second) + 2
	if out.lines > 400*seconds+10 {
		t.Errorf("%d lines in %v", out.lines, took)
	}
	written := strings.Count(out.text.String(), "request-refused")
	if got := int(log.Dropped()); got+written != lines {
		t.Errorf("%d lines written and %d counted as dropped, of %d", written, got, lines)
	}
	if !strings.Contains(out.text.String(), fmt.Sprintf(`"in-all":%d`, lines-written)) {
		t.Error("the log does not contain the number of dropped lines")
	}
	if longest > 100*time.Millisecond {
		t.Errorf("a line took %v", longest)
	}
}

func TestExplain(t *testing.T) {
	text := `   1.2 vm-a {"level":"info","kind":"servers","time":"2026-01-01T10:00:01.000Z","message":"dependency-lost"}
noise
   1.3 vm-b {"level":"info","kind":"servers","time":"2026-01-01T10:00:01.100Z","message":"dependency-regained"}
   1.4 vm-a {"level":"info","request":"7f","reason":"no-upstream","time":"2026-01-01T10:00:01.200Z","message":"request-refused"}
`
	lines, err := eventlog.Read("log", strings.NewReader(text))
	if err != nil || len(lines) != 3 {
		t.Fatalf("%d lines (%v)", len(lines), err)
	}
	var out bytes.Buffer
	if !eventlog.Explain(&out, lines, "7f") {
		t.Fatal("the request was not found")
	}
	for _, want := range []string{"at vm-a", "dependency-lost  kind=servers", "request-refused  reason=no-upstream"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "regained") {
		t.Error("an event of another VM is shown")
	}
	if eventlog.Explain(&out, lines, "80") {
		t.Error("Explain returned true for an unknown request")
	}
}

func TestExplainTenant(t *testing.T) {
	log := `{"time":"2026-02-19T19:00:09.000Z","message":"request-refused","request":"1","tenant":"courts","reason":"over-usage-cap","detail":"cap 6/s"}
{"time":"2026-02-19T19:00:10.000Z","message":"request-late","request":"2","tenant":"courts"}
{"time":"2026-02-19T19:00:11.000Z","message":"request-refused","request":"3","tenant":"schools","reason":"over-usage-cap"}
`
	lines, err := eventlog.Read("entry-0", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if !eventlog.ExplainTenant(&out, lines, "courts") {
		t.Fatal("the tenant was not found")
	}
	for _, part := range []string{"courts: 1 requests refused", "1  over-usage-cap at entry-0", "detail=cap 6/s"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is missing in %s", part, out.String())
		}
	}
	if eventlog.ExplainTenant(&out, lines, "unknown") {
		t.Error("an unknown tenant was found")
	}
}

var (
	logged     = regexp.MustCompile(`(?:Msg\(|\\"message\\":\\)"([a-z][a-z-]+)`)
	documented = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|")
)

// TestEventsAreDocumented checks that docs/OPERATIONS.md lists exactly the events
// that the code logs.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "## Events")
	table, _, _ = strings.Cut(table, "\n## ")
	var listed []string
	for _, m := range documented.FindAllStringSubmatch(table, -1) {
		listed = append(listed, m[1])
	}
	used := map[string]string{}
	err = filepath.Walk("../..", func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, m := range logged.FindAllStringSubmatch(string(code), -1) {
			used[m[1]] = path
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, path := range used {
		if !slices.Contains(listed, name) {
			t.Errorf("%s logs %q, which is not listed", path, name)
		}
	}
	for _, name := range listed {
		if used[name] == "" {
			t.Errorf("%q is listed, but the code does not log it", name)
		}
	}
}
