// Package explain finds what the logs of all processes say about one request:
// its own lines, and what its hosts believed and learned just before.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrNotFound means that no line names the request. Lines of usual requests are
// sampled; those of failures and refusals are not, up to a bound a second.
var ErrNotFound = errors.New("no line names the request")

// before is how far back lines about the state of a host are shown.
const before = 3 * time.Second

// Line is one log line.
type Line struct {
	Time    time.Time
	Message string
	Level   string
	Fields  map[string]any
}

// Host returns the host that wrote the line.
func (l *Line) Host() string { return fmt.Sprint(l.Fields["host"]) }

type record struct {
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
	Level   string         `json:"level"`
	Fields  map[string]any `json:"fields"`
}

// Read reads the lines of a log. Whatever stands before the JSON of a line, and
// lines without any, are passed over.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
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

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Request returns the lines about a request and, for each host that names it,
// the lines about the host's state in the time before, in the order of time.
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
		if _, aboutRequest := l.Fields["attempt_id"]; !aboutRequest && concerns(l, own) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// Events returns the lines that are not about requests, in the order of time: what
// the processes believed, and when that changed.
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

// concerns tells whether a line about a host's state may explain one of the
// request's lines: the same host, shortly before, and no other upstream's or
// service's matter.
func concerns(l Line, own []Line) bool {
	return slices.ContainsFunc(own, func(o Line) bool {
		if l.Host() != o.Host() || l.Time.After(o.Time) || o.Time.Sub(l.Time) > before {
			return false
		}
		for _, field := range []string{"upstream", "service"} {
			if said, ok := l.Fields[field]; ok && o.Fields[field] != "" && said != o.Fields[field] {
				return false
			}
		}
		return true
	})
}

// Write writes lines for a person to read: time since the first, host, message,
// and the fields by name.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var fields []string
		for name, value := range l.Fields {
			if name != "host" && value != "" {
				fields = append(fields, fmt.Sprintf("%s=%v", name, value))
			}
		}
		slices.SortFunc(fields, cmp.Compare)
		if _, err := fmt.Fprintf(w, "%+9.3fs %-16s %s %s\n", l.Time.Sub(lines[0].Time).Seconds(), l.Host(), l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
