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
	// around is how much of what a process learned before a request is shown.
	around = 10 * time.Second
	// longestLine bounds a line of a log.
	longestLine = 1 << 20
	// mostAround bounds the lines that are shown besides the request's own.
	mostAround = 20
)

// A Line is one event of a log.
type Line struct {
	Time time.Time
	// Source is the text before the event, such as the name of a machine, or the
	// name of the log.
	Source string
	Event  string
	// Fields are the event's other fields.
	Fields map[string]any
}

// Read reads the events of a log; other lines are passed over. Text before an
// event, as collectors of logs put it, is kept as the source.
func Read(name string, log io.Reader) ([]Line, error) {
	var lines []Line
	in := bufio.NewScanner(log)
	in.Buffer(nil, longestLine)
	for in.Scan() {
		if l, ok := parse(name, in.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, in.Err()
}

func parse(name string, text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[at:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Source: name, Fields: fields}
	if words := strings.Fields(string(text[:at])); len(words) > 0 {
		l.Source = words[len(words)-1]
	}
	l.Event, _ = fields["message"].(string)
	stamp, _ := fields["time"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339, stamp); err != nil || l.Event == "" {
		return Line{}, false
	}
	for _, known := range []string{"message", "time", "level"} {
		delete(fields, known)
	}
	return l, true
}

// Explain writes what the logs tell of a request: what its VM learned shortly
// before, and each event of the request itself. It reports whether there is any.
func Explain(w io.Writer, lines []Line, request string) bool {
	var own []Line
	for _, l := range lines {
		if l.Fields["request"] == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return false
	}
	slices.SortStableFunc(own, byTime)
	for _, l := range own {
		fmt.Fprintf(w, "request %s at %s\n", request, l.Source)
		shown := before(lines, l)
		fmt.Fprintf(w, "  what it learned in the %v before:\n", around)
		if len(shown) == 0 {
			fmt.Fprintln(w, "    nothing")
		}
		for _, b := range shown {
			write(w, b)
		}
		fmt.Fprintln(w, "  how it ended:")
		write(w, l)
	}
	return true
}

func byTime(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }

// before returns the latest events of the same process that are of no request.
func before(lines []Line, l Line) []Line {
	var out []Line
	for _, b := range lines {
		age := l.Time.Sub(b.Time)
		if b.Source == l.Source && b.Fields["request"] == nil && age >= 0 && age <= around {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, byTime)
	if extra := len(out) - mostAround; extra > 0 {
		out = out[extra:]
	}
	return out
}

func write(w io.Writer, l Line) {
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
