// Package settings reads INI files: the settings of one instance and, through the
// same checks, the deployment's configuration. It reports all faults of a file at
// once, each with file, section, key, value and rule.
package settings

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// ErrInvalid is the sentinel of every fault in a file.
var ErrInvalid = errors.New("invalid settings")

// Fault is one broken rule.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rule    string `json:"rule"`
}

// Error returns the fault in one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: section %q, key %q, value %q: %s", f.File, f.Section, f.Key, f.Value, f.Rule)
}

// Is reports whether the target is ErrInvalid.
func (f Fault) Is(target error) bool { return target == ErrInvalid }

// File is a parsed INI file that collects faults.
type File struct {
	name     string
	sections []*Section
	faults   []error
}

// Section is one section with the keys that were asked for so far.
type Section struct {
	file  *File
	name  string
	ini   *ini.Section
	known []string
}

// Parse reads an INI text. Only a text that is no INI at all fails here.
func Parse(name string, data []byte) (*File, error) {
	f := &File{name: name}
	opts := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, errors.Join(Fault{File: name, Rule: err.Error()})
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		f.sections = append(f.sections, &Section{file: f, name: s.Name(), ini: s})
	}
	f.refuseRepeats()
	return f, nil
}

func (f *File) refuseRepeats() {
	var seen []string
	for _, s := range f.sections {
		if slices.Contains(seen, s.name) {
			f.fault(s.name, "", "", "section appears more than once")
		}
		seen = append(seen, s.name)
		for _, k := range s.ini.Keys() {
			if values := k.ValueWithShadows(); len(values) > 1 {
				f.fault(s.name, k.Name(), strings.Join(values, ", "), "key appears more than once")
			}
		}
	}
}

func (f *File) fault(section, key, value, rule string) {
	f.faults = append(f.faults, Fault{File: f.name, Section: section, Key: key, Value: value, Rule: rule})
}

// Section returns the section with the name; a missing one is a fault.
func (f *File) Section(name string) *Section {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	f.fault(name, "", "", "section is missing")
	empty := ini.Empty()
	s, _ := empty.NewSection(name)
	return &Section{file: f, name: name, ini: s}
}

// Has reports whether the file has the section.
func (f *File) Has(name string) bool {
	return slices.ContainsFunc(f.sections, func(s *Section) bool { return s.name == name })
}

// Kind returns the sections named "kind NAME" in order, with their names.
func (f *File) Kind(kind string) ([]*Section, []string) {
	var out []*Section
	var names []string
	for _, s := range f.sections {
		if name, ok := strings.CutPrefix(s.name, kind+" "); ok {
			out = append(out, s)
			names = append(names, strings.TrimSpace(name))
		}
	}
	return out, names
}

// Finish refuses sections and keys that nothing asked for and returns all
// faults joined, or nil. Kinds are the section names and prefixes allowed.
func (f *File) Finish(kinds ...string) error {
	for _, s := range f.sections {
		kind, _, _ := strings.Cut(s.name, " ")
		if !slices.Contains(kinds, kind) {
			f.fault(s.name, "", "", "unknown section"+nearest(kind, kinds))
			continue
		}
		for _, k := range s.ini.Keys() {
			if !slices.Contains(s.known, k.Name()) {
				f.fault(s.name, k.Name(), k.Value(), "unknown key"+nearest(k.Name(), s.known))
			}
		}
	}
	return errors.Join(f.faults...)
}

// maxTypo is the edit distance up to which a known name is suggested.
const maxTypo = 3

func nearest(name string, known []string) string {
	best, bestDistance := "", maxTypo+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// Fault records that a key of the section breaks a rule.
func (s *Section) Fault(key, value, rule string) { s.file.fault(s.name, key, value, rule) }

// raw returns a key's value and whether it is there.
func (s *Section) raw(key string) (string, bool) {
	s.known = append(s.known, key)
	if !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).Value()), true
}

// Required returns a value that must be there and not be empty.
func (s *Section) Required(key string) string {
	value, ok := s.raw(key)
	if !ok || value == "" {
		s.Fault(key, value, "must be given")
	}
	return value
}

// String returns a value or its default.
func (s *Section) String(key, def string) string {
	if value, ok := s.raw(key); ok {
		return value
	}
	return def
}

// OneOf returns a value that must be one of the allowed ones.
func (s *Section) OneOf(key, def string, allowed ...string) string {
	value := s.String(key, def)
	if !slices.Contains(allowed, value) {
		s.Fault(key, value, "must be one of "+strings.Join(allowed, ", ")+nearest(value, allowed))
	}
	return value
}

// List returns the comma-separated parts of a value.
func (s *Section) List(key string) []string {
	value, _ := s.raw(key)
	var out []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Int returns a whole number between lo and hi.
func (s *Section) Int(key string, def, lo, hi int) int {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < lo || n > hi {
		s.Fault(key, value, fmt.Sprintf("must be a whole number from %d to %d", lo, hi))
	}
	return n
}

// Float returns a number between lo and hi.
func (s *Section) Float(key string, def, lo, hi float64) float64 {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= lo && x <= hi) {
		s.Fault(key, value, fmt.Sprintf("must be a number from %g to %g", lo, hi))
	}
	return x
}

// Bool returns true or false.
func (s *Section) Bool(key string, def bool) bool {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	b, err := strconv.ParseBool(value)
	if err != nil {
		s.Fault(key, value, "must be true or false")
	}
	return b
}

// Duration returns a time span between lo and hi.
func (s *Section) Duration(key string, def, lo, hi time.Duration) time.Duration {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < lo || d > hi {
		s.Fault(key, value, fmt.Sprintf("must be a duration from %s to %s, such as 800ms", lo, hi))
	}
	return d
}
