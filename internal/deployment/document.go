// Package deployment is the state that the control instances of a routed
// deployment agree on: the routes and services in force, the targets as last
// announced, and who owns which keys. State is immutable and changes only by
// applying committed commands.
package deployment

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be done with a route's requests.
type Kind string

// Kinds of routes.
const (
	Lookup   Kind = "lookup"   // may run more than once
	Download Kind = "download" // may run more than once; answers are large
	Booking  Kind = "booking"  // runs at most once for each request ID
)

// Idempotent reports whether a request may be sent to a second target after
// the first one may have run it.
func (k Kind) Idempotent() bool { return k == Lookup || k == Download }

// Share is one part of a route's traffic.
type Share struct {
	Service string  `msgpack:"service"`
	Weight  float64 `msgpack:"weight"`
}

// Route sends the requests of one host below a path prefix to services.
type Route struct {
	Name      string        `msgpack:"name"`
	Host      string        `msgpack:"host"`
	Prefix    string        `msgpack:"prefix"` // begins and ends with a slash
	Kind      Kind          `msgpack:"kind"`
	Timeout   time.Duration `msgpack:"timeout"`   // longest time that a caller is kept waiting
	Objective time.Duration `msgpack:"objective"` // latency that callers are promised
	Priority  int           `msgpack:"priority"`  // 0 is the most urgent
	Attempts  int           `msgpack:"attempts"`  // targets that one request may be sent to
	Split     []Share       `msgpack:"split"`
	Source    []byte        `msgpack:"source"` // the operator's own form of the route
}

// Service is a group of targets.
type Service struct {
	Name        string        `msgpack:"name"`
	HealthPath  string        `msgpack:"health_path"`
	Connections int           `msgpack:"connections"` // that one target accepts from all callers
	Keyed       bool          `msgpack:"keyed"`       // each key is owned by one target
	Warm        time.Duration `msgpack:"warm"`        // for which keys without a handover are slow
	Source      []byte        `msgpack:"source"`
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int           `msgpack:"header_bytes"`
	BodyBytes     int           `msgpack:"body_bytes"`
	HeaderTimeout time.Duration `msgpack:"header_timeout"`
	IdleTimeout   time.Duration `msgpack:"idle_timeout"`
}

// Document is one accepted configuration. It is immutable.
type Document struct {
	Version  uint64       `msgpack:"version"` // the operator's own number
	Routes   []Route      `msgpack:"routes"`  // in order of their names
	Services []Service    `msgpack:"services"`
	Limits   CallerLimits `msgpack:"limits"`
	Source   []byte       `msgpack:"source"` // what the operator wrote besides routes and services
	// LimitsSource is the operator's own form of the limits.
	LimitsSource []byte `msgpack:"limits_source"`
}

// Service returns the service with the name.
func (d Document) Service(name string) (Service, bool) {
	i, ok := slices.BinarySearchFunc(d.Services, name, func(s Service, n string) int { return cmp.Compare(s.Name, n) })
	if !ok {
		return Service{}, false
	}
	return d.Services[i], true
}

// ErrInvalid reports a configuration that breaks a rule.
var ErrInvalid = errors.New("configuration is invalid")

// FieldError names what is wrong with a configuration.
type FieldError struct {
	Field string
	Value any
	Rule  string
}

// Error returns the message.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: value %v: %s", e.Field, e.Value, e.Rule) }

// Is reports whether the target is ErrInvalid.
func (e *FieldError) Is(target error) bool { return target == ErrInvalid }

// maxObjectiveExcess is how far a route's objective may lie above its timeout.
const maxObjectiveExcess = time.Minute

// Validate returns a FieldError for the first rule that the document breaks.
func (d Document) Validate() error {
	for _, r := range d.Routes {
		if err := d.validateRoute(r); err != nil {
			return err
		}
	}
	return nil
}

func (d Document) validateRoute(r Route) error {
	field := func(name string) string { return "routes." + r.Name + "." + name }
	switch {
	case r.Host == "":
		return &FieldError{Field: field("host"), Value: r.Host, Rule: "must not be empty"}
	case r.Kind != Lookup && r.Kind != Download && r.Kind != Booking:
		return &FieldError{Field: field("kind"), Value: r.Kind, Rule: "must be a known kind"}
	case r.Attempts < 1:
		return &FieldError{Field: field("attempts"), Value: r.Attempts, Rule: "must be at least 1"}
	case r.Timeout <= 0:
		return &FieldError{Field: field("timeout"), Value: r.Timeout, Rule: "must be above 0"}
	case r.Objective >= r.Timeout+maxObjectiveExcess:
		return &FieldError{Field: field("objective"), Value: r.Objective, Rule: "must be less than a minute above the timeout"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &FieldError{Field: field("prefix"), Value: r.Prefix, Rule: "must begin and end with a slash"}
	case len(r.Split) == 0:
		return &FieldError{Field: field("split"), Value: "none", Rule: "must name at least one service"}
	}
	for _, s := range r.Split {
		if s.Weight < 0 {
			return &FieldError{Field: field("split." + s.Service), Value: s.Weight, Rule: "must be at least 0"}
		}
		if _, ok := d.Service(s.Service); !ok {
			return &FieldError{Field: field("split"), Value: s.Service, Rule: "must name a service of this configuration"}
		}
	}
	return nil
}

// ConfigChange is an operator's change of the configuration: a whole
// configuration, or named items to set and to drop.
type ConfigChange struct {
	Digest       string        `msgpack:"digest"` // of the change as it was received
	Version      uint64        `msgpack:"version"`
	Base         uint64        `msgpack:"base"` // version that the change builds on; 0 for the first one
	Whole        bool          `msgpack:"whole"`
	Routes       []Route       `msgpack:"routes"`
	Services     []Service     `msgpack:"services"`
	DropRoutes   []string      `msgpack:"drop_routes"`
	DropServices []string      `msgpack:"drop_services"`
	Limits       *CallerLimits `msgpack:"limits"` // nil to keep those in force
	LimitsSource []byte        `msgpack:"limits_source"`
	Source       []byte        `msgpack:"source"`
}

// Since returns the change that turns an older document into this one, without
// the operator's own forms, which routing does not need.
func (d Document) Since(old Document) ConfigChange {
	limits := d.Limits
	o := ConfigChange{Version: d.Version, Base: old.Version, Limits: &limits}
	o.Routes, o.DropRoutes = changedItems(d.Routes, old.Routes, Route.name, Route.same)
	o.Services, o.DropServices = changedItems(d.Services, old.Services, Service.name, Service.same)
	for i := range o.Routes {
		o.Routes[i].Source = nil
	}
	for i := range o.Services {
		o.Services[i].Source = nil
	}
	return o
}

func (r Route) name() string { return r.Name }

func (r Route) same(x Route) bool { return bytes.Equal(r.Source, x.Source) }

func (s Service) name() string { return s.Name }

func (s Service) same(x Service) bool { return bytes.Equal(s.Source, x.Source) }

// changedItems returns the items that are new or differ, and the names of those
// that are gone. Both lists are in order of their names.
func changedItems[T any](now, old []T, name func(T) string, same func(a, b T) bool) (set []T, drop []string) {
	i := 0
	for _, x := range now {
		for i < len(old) && name(old[i]) < name(x) {
			drop = append(drop, name(old[i]))
			i++
		}
		if i < len(old) && name(old[i]) == name(x) {
			if !same(x, old[i]) {
				set = append(set, x)
			}
			i++
			continue
		}
		set = append(set, x)
	}
	for _, x := range old[i:] {
		drop = append(drop, name(x))
	}
	return set, drop
}

// ApplyTo returns the document after the change.
func (o ConfigChange) ApplyTo(d Document) Document {
	next := Document{Version: o.Version, Limits: d.Limits, LimitsSource: d.LimitsSource, Source: o.Source}
	if !o.Whole {
		next.Routes, next.Services, next.Source = d.Routes, d.Services, d.Source
	}
	if o.Limits != nil {
		next.Limits, next.LimitsSource = *o.Limits, o.LimitsSource
	}
	next.Routes = withItems(next.Routes, o.Routes, o.DropRoutes, Route.name)
	next.Services = withItems(next.Services, o.Services, o.DropServices, Service.name)
	return next
}

// withItems returns the items without the dropped ones and with the set ones,
// in order of their names.
func withItems[T any](items, set []T, drop []string, name func(T) string) []T {
	byName := make(map[string]T, len(items)+len(set))
	for _, x := range items {
		byName[name(x)] = x
	}
	for _, n := range drop {
		delete(byName, n)
	}
	for _, x := range set {
		byName[name(x)] = x
	}
	out := make([]T, 0, len(byName))
	for _, x := range byName {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// Table finds the route of a request.
type Table struct {
	hosts map[string][]*Route // longest prefix first
}

// NewTable returns the routing table of a document.
func NewTable(d Document) Table {
	t := Table{hosts: make(map[string][]*Route)}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the route with the longest prefix of the path among the host's.
func (t Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
