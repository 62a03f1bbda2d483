// Package settings reads INI files: the settings of one instance and, with the same
// checks, the deployment's configuration. It reports all errors of a file at once,
// each with file, section, key, value and rule.
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

// ErrInvalid matches every ValidationError.
var ErrInvalid = errors.New("invalid settings")

// ValidationError reports a value, key or section that violates a rule.
type ValidationError struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rule    string `json:"rule"`
}

// Error returns all fields in one line.
func (e ValidationError) Error() string {
	return fmt.Sprintf("%s: section %q, key %q, value %q: %s", e.File, e.Section, e.Key, e.Value, e.Rule)
}

// Is reports whether the target is ErrInvalid.
func (e ValidationError) Is(target error) bool { return target == ErrInvalid }

// File is a parsed INI file that collects validation errors.
type File struct {
	name     string
	sections []*Section
	errs     []error
}

// Section is a section of a File. It records the keys that are read, so that Finish
// can reject all others.
type Section struct {
	file  *File
	name  string
	ini   *ini.Section
	known []string
}

// Parse parses an INI file. It returns an error only for a syntax error; File.Finish
// returns all other errors.
func Parse(name string, data []byte) (*File, error) {
	f := &File{name: name}
	opts := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, errors.Join(ValidationError{File: name, Rule: err.Error()})
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		f.sections = append(f.sections, &Section{file: f, name: s.Name(), ini: s})
	}
	f.rejectDuplicates()
	return f, nil
}

// rejectDuplicates adds an error for each section and key that appears more than once.
func (f *File) rejectDuplicates() {
	var seen []string
	for _, s := range f.sections {
		if slices.Contains(seen, s.name) {
			f.addError(s.name, "", "", "section appears more than once")
		}
		seen = append(seen, s.name)
		for _, k := range s.ini.Keys() {
			if values := k.ValueWithShadows(); len(values) > 1 {
				f.addError(s.name, k.Name(), strings.Join(values, ", "), "key appears more than once")
			}
		}
	}
}

func (f *File) addError(section, key, value, rule string) {
	f.errs = append(f.errs, ValidationError{File: f.name, Section: section, Key: key, Value: value, Rule: rule})
}

// Section returns the section with the given name. If there is none, it adds an error
// and returns an empty section.
func (f *File) Section(name string) *Section {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	f.addError(name, "", "", "section is missing")
	empty := ini.Empty()
	s, _ := empty.NewSection(name)
	return &Section{file: f, name: name, ini: s}
}

// Has reports whether the file has a section with the given name.
func (f *File) Has(name string) bool {
	return slices.ContainsFunc(f.sections, func(s *Section) bool { return s.name == name })
}

// NamedSections returns all sections with a header [kind NAME] in order of the file,
// and their names.
func (f *File) NamedSections(kind string) ([]*Section, []string) {
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

// Finish adds errors for sections whose kind is not among kinds and for keys that were
// not read, and returns all errors joined, or nil. The kind of a section is the first
// word of its header.
func (f *File) Finish(kinds ...string) error {
	for _, s := range f.sections {
		kind, _, _ := strings.Cut(s.name, " ")
		if !slices.Contains(kinds, kind) {
			f.addError(s.name, "", "", "unknown section"+suggestion(kind, kinds))
			continue
		}
		for _, k := range s.ini.Keys() {
			if !slices.Contains(s.known, k.Name()) {
				f.addError(s.name, k.Name(), k.Value(), "unknown key"+suggestion(k.Name(), s.known))
			}
		}
	}
	return errors.Join(f.errs...)
}

// maxSuggestionDistance is the edit distance up to which a known name is suggested.
const maxSuggestionDistance = 3

// suggestion returns text that suggests the known name closest to the given one, or ""
// if none is close enough.
func suggestion(name string, known []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
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

// AddError records that a key of the section violates a rule.
func (s *Section) AddError(key, value, rule string) { s.file.addError(s.name, key, value, rule) }

// raw returns a key's value and whether the key is present.
func (s *Section) raw(key string) (string, bool) {
	s.known = append(s.known, key)
	if !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).Value()), true
}

// Required returns a value that must be present and not empty.
func (s *Section) Required(key string) string {
	value, ok := s.raw(key)
	if !ok || value == "" {
		s.AddError(key, value, "must be given")
	}
	return value
}

// String returns a value, or def if the key is missing.
func (s *Section) String(key, def string) string {
	if value, ok := s.raw(key); ok {
		return value
	}
	return def
}

// OneOf returns a value that must be one of the allowed ones, or def if the key is
// missing.
func (s *Section) OneOf(key, def string, allowed ...string) string {
	value := s.String(key, def)
	if !slices.Contains(allowed, value) {
		s.AddError(key, value, "must be one of "+strings.Join(allowed, ", ")+suggestion(value, allowed))
	}
	return value
}

// List returns the comma-separated items of a value, without empty ones.
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

// Int returns an integer from lo to hi, or def if the key is missing.
func (s *Section) Int(key string, def, lo, hi int) int {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < lo || n > hi {
		s.AddError(key, value, fmt.Sprintf("must be a whole number from %d to %d", lo, hi))
	}
	return n
}

// Float returns a number from lo to hi, or def if the key is missing.
func (s *Section) Float(key string, def, lo, hi float64) float64 {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= lo && x <= hi) {
		s.AddError(key, value, fmt.Sprintf("must be a number from %g to %g", lo, hi))
	}
	return x
}

// Bool returns a boolean, or def if the key is missing.
func (s *Section) Bool(key string, def bool) bool {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	b, err := strconv.ParseBool(value)
	if err != nil {
		s.AddError(key, value, "must be true or false")
	}
	return b
}

// Duration returns a duration from lo to hi, or def if the key is missing.
func (s *Section) Duration(key string, def, lo, hi time.Duration) time.Duration {
	value, ok := s.raw(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < lo || d > hi {
		s.AddError(key, value, fmt.Sprintf("must be a duration from %s to %s, such as 800ms", lo, hi))
	}
	return d
}
