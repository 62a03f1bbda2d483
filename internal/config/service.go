package config

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/settings"
)

func (t *Config) readServices(f *settings.File) {
	sections, names := f.NamedSections("service")
	for i, s := range sections {
		t.Services = append(t.Services, readService(s, names[i]))
	}
	for i, s := range sections {
		t.checkService(s, t.Services[i])
	}
	if len(sections) == 0 {
		f.Section("deployment").AddError("", "", "at least one section [service NAME] must be given")
	}
}

func readService(s *settings.Section, name string) Service {
	kind := Kind(s.OneOf("kind", "", string(Lookup), string(Booking), string(Download)))
	out := Service{
		Name:         name,
		Kind:         kind,
		Prefix:       s.Required("prefix"),
		Methods:      s.List("methods"),
		Key:          readKey(s),
		Deadline:     s.Duration("deadline", time.Second, time.Millisecond, maxDeadline),
		Ranges:       s.Int("ranges", 64, 1, maxRanges),
		DependsOn:    s.List("depends_on"),
		MaxBody:      s.Int("max_body_bytes", defaultBody, 0, maxBody),
		RetryBudget:  s.Float("retry_budget", 0.1, 0, 1),
		MaxWaiting:   s.Int("max_waiting", 256, 0, maxWaiting),
		Objective:    s.Float("objective", 0.999, 0.5, 0.999999),
		Takeover:     Takeover(s.OneOf("unfenced_takeover", string(TakeoverWait), string(TakeoverWait), string(TakeoverMove))),
		MovesAMinute: s.Int("moves_a_minute", 60, 0, maxMoves),
	}
	if len(out.Methods) == 0 {
		out.Methods = defaultMethods(kind)
	}
	if !strings.HasPrefix(out.Prefix, "/") || !strings.HasSuffix(out.Prefix, "/") {
		s.AddError("prefix", out.Prefix, "must begin and end with /")
	}
	return out
}

func defaultMethods(kind Kind) []string {
	if kind == Booking {
		return []string{http.MethodPost}
	}
	return []string{http.MethodGet, http.MethodHead}
}

// readKey reads "none", "path:1", "query:NAME" or "header:NAME".
func readKey(s *settings.Section) KeySource {
	value := s.String("key", string(KeyNone))
	from, name, _ := strings.Cut(value, ":")
	key := KeySource{From: KeyFrom(from), Name: name}
	switch key.From {
	case KeyNone:
	case KeyPath:
		part, err := strconv.Atoi(name)
		if err != nil || part < 1 {
			s.AddError("key", value, "must name a part of the path from 1, such as path:1")
		}
		key.Part = part
	case KeyQuery, KeyHeader:
		if name == "" {
			s.AddError("key", value, "must name the field, such as query:sku")
		}
	default:
		s.AddError("key", value, "must be none, path:N, query:NAME or header:NAME")
	}
	return key
}

func (t *Config) checkService(sec *settings.Section, s Service) {
	for _, other := range t.Services {
		if other.Name != s.Name && other.Prefix == s.Prefix {
			sec.AddError("prefix", s.Prefix, "is also the prefix of service "+other.Name)
		}
	}
	for _, name := range s.DependsOn {
		if _, ok := t.Service(name); !ok {
			sec.AddError("depends_on", name, "names no service of this text")
		}
	}
	if t.reaches(s.Name, s.Name, nil) {
		sec.AddError("depends_on", strings.Join(s.DependsOn, ", "), "must not form a cycle")
	}
	if s.Kind == Booking && slices.ContainsFunc(s.Methods, safeMethod) {
		sec.AddError("methods", strings.Join(s.Methods, ", "), "a booking must not be GET or HEAD")
	}
	if s.Kind == Download && s.Keyed() {
		sec.AddError("key", string(s.Key.From), "a download must have no key")
	}
}

func safeMethod(m string) bool { return m == http.MethodGet || m == http.MethodHead }

// reaches reports whether the service named from depends on the goal.
func (t *Config) reaches(from, goal string, seen []string) bool {
	s, ok := t.Service(from)
	if !ok || slices.Contains(seen, from) {
		return false
	}
	seen = append(seen, from)
	for _, next := range s.DependsOn {
		if next == goal || t.reaches(next, goal, seen) {
			return true
		}
	}
	return false
}
