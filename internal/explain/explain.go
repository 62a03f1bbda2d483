// Package explain reconstructs one request from the log files of several instances:
// all lines with its ID, ordered by time, and earlier lines about the targets and
// services involved.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// ErrNotFound reports that no log line has the request's ID.
var ErrNotFound = errors.New("no log line has the request ID")

// maxLineBytes is the maximum length of a log line. Read fails on a longer one.
const maxLineBytes = 4 << 20

// Line is a parsed log line.
type Line struct {
	Time     string         `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Timeline holds the log lines about one request.
type Timeline struct {
	RequestID string `json:"request_id"`
	Lines     []Line `json:"lines"`
	// Background holds the last lines, up to the end of the request, about its
	// targets, its services, the configuration, leadership and starts of instances.
	Background []Line `json:"background"`
	// Cause is the reason field of the last line that has one.
	Cause string `json:"cause"`
}

// maxBackgroundLines is the maximum number of background lines in a timeline.
const maxBackgroundLines = 12

// Read returns the timeline of the request with the given ID. Lines without a JSON
// object that has a time are skipped, and text before the object is ignored. It returns
// ErrNotFound if no line has the ID.
func Read(id string, files ...io.Reader) (Timeline, error) {
	var all []Line
	for _, f := range files {
		lines, err := readLines(f)
		if err != nil {
			return Timeline{}, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	t := Timeline{RequestID: id}
	for _, l := range all {
		if l.Fields["request_id"] == id {
			t.Lines = append(t.Lines, l)
			if reason, ok := l.Fields["reason"].(string); ok {
				t.Cause = reason
			}
		}
	}
	if len(t.Lines) == 0 {
		return t, fmt.Errorf("request %q: %w", id, ErrNotFound)
	}
	t.Background = background(all, t.Lines)
	return t, nil
}

func readLines(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			out = append(out, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

// parseLine parses a line and reports whether it holds a JSON object with a time.
func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Time: stringField(fields, "time"), Instance: stringField(fields, "instance"), Message: stringField(fields, "msg"), Fields: fields}
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(fields, name)
	}
	return l, l.Time != ""
}

// stringField returns the named field, or "" if it is missing or not a string.
func stringField(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	return s
}

// background returns the last lines without a request ID, up to the end of the request,
// that isBackground accepts for the request's targets and services.
func background(all, lines []Line) []Line {
	end := lines[len(lines)-1].Time
	var subjects []string
	for _, l := range lines {
		for _, name := range []string{"target", "service"} {
			if subject := stringField(l.Fields, name); subject != "" && !slices.Contains(subjects, subject) {
				subjects = append(subjects, subject)
			}
		}
	}
	var out []Line
	for _, l := range all {
		if l.Time > end {
			break
		}
		if _, ok := l.Fields["request_id"]; !ok && isBackground(l, subjects) {
			out = append(out, l)
		}
	}
	return out[max(0, len(out)-maxBackgroundLines):]
}

// isBackground reports whether a field of the line has one of the subjects as its
// value, or the line is about the configuration, leadership, a lost view stream or the
// start of an instance. Lines about the load of keyed services are excluded.
func isBackground(l Line, subjects []string) bool {
	switch l.Message {
	case "load of keyed service":
		return false
	case "configuration in force", "control leadership taken", "control leadership lost", "view stream lost; asking another control instance", "instance started":
		return true
	}
	data, err := json.Marshal(l.Fields)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(subjects, func(subject string) bool { return strings.Contains(string(data), `"`+subject+`"`) })
}

// WriteText writes the timeline as human-readable text.
func (t Timeline) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", t.RequestID)
	if t.Cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", t.Cause)
	}
	b.WriteString("\nwhat happened to it\n")
	for _, l := range t.Lines {
		writeLine(&b, l)
	}
	b.WriteString("\nwhat instances learned before\n")
	for _, l := range t.Background {
		writeLine(&b, l)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// maxValueBytes is the length to which WriteText truncates the value of a field.
const maxValueBytes = 200

func writeLine(b *strings.Builder, l Line) {
	fmt.Fprintf(b, "  %s  %s  %s\n", l.Time, l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == "request_id" {
			continue
		}
		value := fmt.Sprint(l.Fields[name])
		if len(value) > maxValueBytes {
			value = value[:maxValueBytes] + "..."
		}
		fmt.Fprintf(b, "      %s: %s\n", name, value)
	}
}
