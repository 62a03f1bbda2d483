package config

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/settings"
)

func (c *Config) readServices(f *settings.File) {
	sections, names := f.NamedSections("service")
	for i, s := range sections {
		c.Services = append(c.Services, readService(s, names[i]))
	}
	for i, s := range sections {
		c.checkService(s, c.Services[i])
	}
	if len(sections) == 0 {
		f.Section("deployment").AddError("", "", "at least one section [service NAME] must be given")
	}
}

func readService(s *settings.Section, name string) Service {
	kind := Kind(s.OneOf("kind", "", string(Lookup), string(Booking), string(Download)))
	svc := Service{
		Name:           name,
		Kind:           kind,
		Prefix:         s.Required("prefix"),
		Methods:        s.List("methods"),
		Key:            readKey(s),
		Deadline:       s.Duration("deadline", time.Second, time.Millisecond, maxDeadline),
		Ranges:         s.Int("ranges", 64, 1, maxRanges),
		DependsOn:      s.List("depends_on"),
		MaxBodyBytes:   s.Int("max_body_bytes", defaultMaxBodyBytes, 0, maxBodyBytes),
		RetryBudget:    s.Float("retry_budget", 0.1, 0, 1),
		MaxWaiting:     s.Int("max_waiting", 256, 0, maxWaiting),
		Objective:      s.Float("objective", 0.999, 0.5, 0.999999),
		Takeover:       Takeover(s.OneOf("unfenced_takeover", string(TakeoverWait), string(TakeoverWait), string(TakeoverMove))),
		MovesPerMinute: s.Int("moves_a_minute", 60, 0, maxMovesPerMinute),
	}
	if len(svc.Methods) == 0 {
		svc.Methods = defaultMethods(kind)
	}
	if !strings.HasPrefix(svc.Prefix, "/") || !strings.HasSuffix(svc.Prefix, "/") {
		s.AddError("prefix", svc.Prefix, "must begin and end with /")
	}
	return svc
}

func defaultMethods(kind Kind) []string {
	if kind == Booking {
		return []string{http.MethodPost}
	}
	return []string{http.MethodGet, http.MethodHead}
}

// readKey parses a key source: "none", "path:1", "query:NAME" or "header:NAME".
func readKey(s *settings.Section) KeySource {
	value := s.String("key", string(KeyNone))
	from, name, _ := strings.Cut(value, ":")
	key := KeySource{From: KeyFrom(from), Name: name}
	switch key.From {
	case KeyNone:
	case KeyPath:
		segment, err := strconv.Atoi(name)
		if err != nil || segment < 1 {
			s.AddError("key", value, "must name a part of the path from 1, such as path:1")
		}
		key.Segment = segment
	case KeyQuery, KeyHeader:
		if name == "" {
			s.AddError("key", value, "must name the field, such as query:sku")
		}
	default:
		s.AddError("key", value, "must be none, path:N, query:NAME or header:NAME")
	}
	return key
}

func (c *Config) checkService(sec *settings.Section, s Service) {
	for _, other := range c.Services {
		if other.Name != s.Name && other.Prefix == s.Prefix {
			sec.AddError("prefix", s.Prefix, "is also the prefix of service "+other.Name)
		}
	}
	for _, name := range s.DependsOn {
		if _, ok := c.Service(name); !ok {
			sec.AddError("depends_on", name, "names no service of this configuration")
		}
	}
	if c.dependsOn(s.Name, s.Name, nil) {
		sec.AddError("depends_on", strings.Join(s.DependsOn, ", "), "must not form a cycle")
	}
	if s.Kind == Booking && slices.ContainsFunc(s.Methods, isSafe) {
		sec.AddError("methods", strings.Join(s.Methods, ", "), "a booking must not be GET or HEAD")
	}
	if s.Kind == Download && s.Keyed() {
		sec.AddError("key", string(s.Key.From), "a download must have no key")
	}
}

func isSafe(m string) bool { return m == http.MethodGet || m == http.MethodHead }

// dependsOn reports whether one service depends on another, directly or through other
// services. It skips services that were visited already.
func (c *Config) dependsOn(from, to string, visited []string) bool {
	s, ok := c.Service(from)
	if !ok || slices.Contains(visited, from) {
		return false
	}
	visited = append(visited, from)
	for _, next := range s.DependsOn {
		if next == to || c.dependsOn(next, to, visited) {
			return true
		}
	}
	return false
}
