// Package explain tells the story of one request from log files: every line that
// names it, in order of time across instances, and what these instances believed
// of the targets involved before.
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

// ErrNotFound reports that no line names the request.
var ErrNotFound = errors.New("no log line names the request")

// maxLine bounds one log line; longer ones end the reading of a file.
const maxLine = 4 << 20

// Line is one log line.
type Line struct {
	Time     string         `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Story is what log files tell of a request.
type Story struct {
	RequestID string `json:"request_id"`
	Lines     []Line `json:"lines"`
	// Background holds the last lines before the request that changed what
	// instances believed of its targets, its keys' service or the configuration.
	Background []Line `json:"background"`
	// Cause is the reason in the last line that gives one.
	Cause string `json:"cause"`
}

// maxBackground is how many lines of background a story has.
const maxBackground = 12

// Read tells a request's story from log files. Lines that are no JSON objects
// are passed over; what stands before the object on a line is ignored.
func Read(id string, files ...io.Reader) (Story, error) {
	var all []Line
	for _, f := range files {
		lines, err := readLines(f)
		if err != nil {
			return Story{}, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	s := Story{RequestID: id}
	for _, l := range all {
		if l.Fields["request_id"] == id {
			s.Lines = append(s.Lines, l)
			if reason, ok := l.Fields["reason"].(string); ok {
				s.Cause = reason
			}
		}
	}
	if len(s.Lines) == 0 {
		return s, fmt.Errorf("request %q: %w", id, ErrNotFound)
	}
	s.Background = background(all, s.Lines)
	return s, nil
}

func readLines(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
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

func parseLine(data []byte) (Line, bool) {
	at := bytes.IndexByte(data, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[at:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Time: text(fields, "time"), Instance: text(fields, "instance"), Message: text(fields, "msg"), Fields: fields}
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(fields, name)
	}
	return l, l.Time != ""
}

func text(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	return s
}

// background returns the last lines without a request that name one of the
// story's targets or services, or the configuration, and came before its end.
func background(all, story []Line) []Line {
	end := story[len(story)-1].Time
	var words []string
	for _, l := range story {
		for _, name := range []string{"target", "service"} {
			if w := text(l.Fields, name); w != "" && !slices.Contains(words, w) {
				words = append(words, w)
			}
		}
	}
	var out []Line
	for _, l := range all {
		if l.Time > end {
			break
		}
		if _, ok := l.Fields["request_id"]; !ok && names(l, words) {
			out = append(out, l)
		}
	}
	return out[max(0, len(out)-maxBackground):]
}

// names reports whether a line holds one of the words, or tells of the
// configuration, leadership or a lost dependency.
func names(l Line, words []string) bool {
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
	return slices.ContainsFunc(words, func(w string) bool { return strings.Contains(string(data), `"`+w+`"`) })
}

// WriteText writes the story for people.
func (s Story) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.RequestID)
	if s.Cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", s.Cause)
	}
	b.WriteString("\nwhat happened to it\n")
	for _, l := range s.Lines {
		writeLine(&b, l)
	}
	b.WriteString("\nwhat instances learned before\n")
	for _, l := range s.Background {
		writeLine(&b, l)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// longestValue is how much of one field is shown.
const longestValue = 200

func writeLine(b *strings.Builder, l Line) {
	fmt.Fprintf(b, "  %s  %s  %s\n", l.Time, l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == "request_id" {
			continue
		}
		value := fmt.Sprint(l.Fields[name])
		if len(value) > longestValue {
			value = value[:longestValue] + "..."
		}
		fmt.Fprintf(b, "      %s: %s\n", name, value)
	}
}
