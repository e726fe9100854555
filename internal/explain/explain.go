// Package explain finds the lines about one request in the logs of all processes: its
// own lines, and those about the state of its hosts shortly before.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// ErrNotFound means that no line names the request. A request may lack a line,
// because each host limits the lines a second of delivered requests and of each
// reason of failure or refusal.
var ErrNotFound = errors.New("no line names the request")

// stateWindow is the time before a request's line in which lines about the state
// of its host are included.
const stateWindow = 3 * time.Second

// Line is one log line.
type Line struct {
	Time    time.Time
	Message string
	Level   string
	Fields  map[string]any
}

// Host returns the host that wrote the line.
func (l *Line) Host() string { return fmt.Sprint(l.Fields["host"]) }

// record is the JSON form of a Line.
type record struct {
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
	Level   string         `json:"level"`
	Fields  map[string]any `json:"fields"`
}

// Read reads the lines of a log. It skips text before the JSON object of a line,
// and lines without one.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var rec record
		if json.Unmarshal([]byte(text[start:]), &rec) != nil || rec.Message == "" {
			continue
		}
		out = append(out, Line(rec))
	}
	return out, scanner.Err()
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Request returns the lines that name a request by its attempt ID and, for each host
// that wrote one, the lines about the host's state shortly before, ordered by time.
func Request(lines []Line, id string) ([]Line, error) {
	var own []Line
	for _, l := range lines {
		if l.Fields["attempt_id"] == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	out := slices.Clone(own)
	for _, l := range lines {
		if _, aboutRequest := l.Fields["attempt_id"]; !aboutRequest && mayExplain(l, own) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// ErrNoWindow means that no line names the usage window.
var ErrNoWindow = errors.New("no line names the usage window")

// windowContext is the time before and after the lines of a usage window in which lines about
// the time, the duty and the other hosts are included.
const windowContext = 12 * time.Second

// Window returns the lines that name a usage window and, around them, those that may explain
// why it was not reported: about the agreed time, the duty, and hosts that are not heard.
func Window(lines []Line, window int64) ([]Line, error) {
	var first, last time.Time
	for _, l := range lines {
		if !l.names(window) {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if first.IsZero() {
		return nil, fmt.Errorf("%w: %d", ErrNoWindow, window)
	}
	var out []Line
	for _, l := range lines {
		near := !l.Time.Before(first.Add(-windowContext)) && !l.Time.After(last.Add(windowContext))
		if l.names(window) || near && l.aboutUsage() {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// names reports whether a line is about a usage window.
func (l *Line) names(window int64) bool {
	n, ok := l.Fields["window"].(float64)
	return ok && int64(n) == window
}

// usageParts begin the messages of the components that decide about usage windows.
var usageParts = []string{"usage: ", "duty: ", "host: Start", "host: Stop", "control: Another host", "store: "}

// aboutUsage reports whether a line that names no window may explain what became of one.
func (l *Line) aboutUsage() bool {
	_, named := l.Fields["window"]
	return !named && slices.ContainsFunc(usageParts, func(part string) bool { return strings.HasPrefix(l.Message, part) })
}

// Events returns the lines that are not about requests, ordered by time: the state
// of the processes and its changes.
func Events(lines []Line) []Line {
	var out []Line
	for _, l := range lines {
		if _, aboutRequest := l.Fields["attempt_id"]; !aboutRequest {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// mayExplain reports whether a line about a host's state may explain one of the
// request's lines: the line is from the same host, shortly before, and does not
// name another upstream or service.
func mayExplain(l Line, own []Line) bool {
	return slices.ContainsFunc(own, func(o Line) bool {
		if l.Host() != o.Host() || l.Time.After(o.Time) || o.Time.Sub(l.Time) > stateWindow {
			return false
		}
		for _, field := range []string{"upstream", "service"} {
			if value, ok := l.Fields[field]; ok && o.Fields[field] != "" && value != o.Fields[field] {
				return false
			}
		}
		return true
	})
}

// Write writes lines as text: time since the first line, host, message, and the
// fields ordered by name.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var fields []string
		for name, value := range l.Fields {
			if name != "host" && value != "" {
				fields = append(fields, fmt.Sprintf("%s=%v", name, whole(value)))
			}
		}
		slices.SortFunc(fields, cmp.Compare)
		if _, err := fmt.Fprintf(w, "%+9.3fs %-16s %s %s\n", l.Time.Sub(lines[0].Time).Seconds(), l.Host(), l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}

// whole returns a number without a fraction as an integer, which is not printed with an exponent.
func whole(value any) any {
	if f, ok := value.(float64); ok && f == math.Trunc(f) && math.Abs(f) < 1<<53 {
		return int64(f)
	}
	return value
}
