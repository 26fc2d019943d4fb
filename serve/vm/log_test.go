package vm

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
)

// A logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// events returns the lines of an event.
func (b *logBuffer) events(t *testing.T, name string) []map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for _, line := range bytes.Split(bytes.TrimSpace(b.text.Bytes()), []byte("\n")) {
		fields := map[string]any{}
		if len(line) == 0 {
			continue
		}
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if fields["message"] == name {
			out = append(out, fields)
		}
	}
	return out
}

// expectLine compares fields of one of the lines of an event with their values as text.
func expectLine(t *testing.T, lines []map[string]any, want map[string]any) {
	t.Helper()
	if len(lines) != 1 {
		t.Fatalf("got %d lines, expected one: %v", len(lines), lines)
	}
	for field, value := range want {
		if fmt.Sprint(lines[0][field]) != fmt.Sprint(value) {
			t.Errorf("%s is %v, expected %v", field, lines[0][field], value)
		}
	}
}
