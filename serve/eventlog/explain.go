package eventlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// contextSpan is the time before a request whose events are shown.
	contextSpan = 10 * time.Second
	// maxLineLength is the longest line that is read, in bytes.
	maxLineLength = 1 << 20
	// maxContextLines is the number of events that are shown before each event of
	// the request.
	maxContextLines = 20
)

// A Line is one event of a log.
type Line struct {
	Time time.Time
	// Source identifies the process: the last word before the event, such as a
	// host name, or the name of the log if there is none.
	Source string
	// Event is the name of the event.
	Event string
	// Fields are the other fields of the event without its level.
	Fields map[string]any
}

// Read reads the events of a log and skips all other lines. The last word before
// an event, such as a host name that a log collector adds, becomes its source.
func Read(name string, log io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		if l, ok := parse(name, scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// parse decodes a line that ends in a JSON object with a message and a time.
func parse(name string, text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Source: name, Fields: fields}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		l.Source = words[len(words)-1]
	}
	l.Event, _ = fields["message"].(string)
	timestamp, _ := fields["time"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339, timestamp); err != nil || l.Event == "" {
		return Line{}, false
	}
	for _, key := range []string{"message", "time", "level"} {
		delete(fields, key)
	}
	return l, true
}

// Explain writes each event of a request, after the events that its VM logged
// within contextSpan before it. It returns false when no event has the request's
// ID.
func Explain(w io.Writer, lines []Line, request string) bool {
	var requestLines []Line
	for _, l := range lines {
		if l.Fields["request"] == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return false
	}
	slices.SortStableFunc(requestLines, byTime)
	for _, l := range requestLines {
		fmt.Fprintf(w, "request %s at %s\n", request, l.Source)
		preceding := precedingLines(lines, l)
		fmt.Fprintf(w, "  what it learned in the %v before:\n", contextSpan)
		if len(preceding) == 0 {
			fmt.Fprintln(w, "    nothing")
		}
		for _, b := range preceding {
			writeLine(w, b)
		}
		fmt.Fprintln(w, "  how it ended:")
		writeLine(w, l)
	}
	return true
}

func byTime(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }

// precedingLines returns the latest events of the same source within contextSpan
// before l that belong to no request.
func precedingLines(lines []Line, l Line) []Line {
	var out []Line
	for _, b := range lines {
		age := l.Time.Sub(b.Time)
		if b.Source == l.Source && b.Fields["request"] == nil && age >= 0 && age <= contextSpan {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, byTime)
	if extra := len(out) - maxContextLines; extra > 0 {
		out = out[extra:]
	}
	return out
}

// writeLine writes an event with its fields sorted by name, without the request
// ID.
func writeLine(w io.Writer, l Line) {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Fprintf(w, "    %s  %s", l.Time.Format("15:04:05.000"), l.Event)
	for _, name := range names {
		if name != "request" {
			fmt.Fprintf(w, "  %s=%v", name, l.Fields[name])
		}
	}
	fmt.Fprintln(w)
}
