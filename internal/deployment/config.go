// Package deployment holds the replicated state of the control instances of a routed
// deployment: the routes and services in force, the targets as last announced, the
// owners of keys, and the suspects. A State is immutable; applying a committed command
// returns the next one. internal/control is the counterpart for deployments whose
// members vote on the configuration.
package deployment

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route's requests: whether they may run more than once, and
// whether responses are large.
type Kind string

// Kinds of routes.
const (
	Lookup   Kind = "lookup"   // may run more than once
	Download Kind = "download" // may run more than once; large responses
	Booking  Kind = "booking"  // runs at most once per request ID
	Upload   Kind = "upload"   // runs at most once per request ID; large requests
)

var kinds = []Kind{Lookup, Download, Booking, Upload}

// Idempotent reports whether a request may be sent again although a target may have
// run it.
func (k Kind) Idempotent() bool { return k == Lookup || k == Download }

// WeightedService is a service with its weight in the split of a route's traffic.
type WeightedService struct {
	Service string  `msgpack:"service"`
	Weight  float64 `msgpack:"weight"`
}

// Route sends the requests for a host and path prefix to services.
type Route struct {
	Name      string        `msgpack:"name"`
	Host      string        `msgpack:"host"`
	Prefix    string        `msgpack:"prefix"` // starts and ends with a slash
	Kind      Kind          `msgpack:"kind"`
	Timeout   time.Duration `msgpack:"timeout"`   // longest time until the caller gets a response
	Objective time.Duration `msgpack:"objective"` // latency promised to callers
	Priority  int           `msgpack:"priority"`  // 0 is the highest
	// Attempts is how often a request that may have run is sent at most. forward sends
	// requests that did not run more often.
	Attempts int               `msgpack:"attempts"`
	Split    []WeightedService `msgpack:"split"`
	Source   []byte            `msgpack:"source"` // JSON of the route as the operator sent it
}

// Service is a group of targets.
type Service struct {
	Name        string `msgpack:"name"`
	HealthPath  string `msgpack:"health_path"`
	Connections int    `msgpack:"connections"` // limit of connections to one target
	Keyed       bool   `msgpack:"keyed"`       // each key is owned by one target
	// WarmUp is how long keys are served slowly after an assignment without handover.
	// It is stored, but routing does not read it.
	WarmUp time.Duration `msgpack:"warm"`
	Source []byte        `msgpack:"source"`
	// ColdTime is how long a target is cold after it starts, and ColdRate how many requests
	// a second it takes from all entries together while it is cold. Without a ColdRate it
	// takes as many as a warm one.
	ColdTime time.Duration `msgpack:"cold_time,omitempty"`
	ColdRate float64       `msgpack:"cold_rate,omitempty"`
}

// CallerLimits limit what a caller may send and how slowly.
type CallerLimits struct {
	HeaderBytes   int           `msgpack:"header_bytes"`
	BodyBytes     int           `msgpack:"body_bytes"`
	HeaderTimeout time.Duration `msgpack:"header_timeout"`
	IdleTimeout   time.Duration `msgpack:"idle_timeout"`
}

// Bounds of the limits that are in force. Operators write very large numbers for no limit; sums
// and multiples of a limit within these bounds do not overflow.
const (
	maxHeaderBytes = 16 << 20
	maxBodyBytes   = math.MaxInt / 4
	maxCallerTime  = 365 * 24 * time.Hour
)

// Bounded returns the limits that are in force: those of the configuration, within what an
// instance supports.
func (l CallerLimits) Bounded() CallerLimits {
	return CallerLimits{
		HeaderBytes:   min(max(l.HeaderBytes, 0), maxHeaderBytes),
		BodyBytes:     min(max(l.BodyBytes, 0), maxBodyBytes),
		HeaderTimeout: min(max(l.HeaderTimeout, 0), maxCallerTime),
		IdleTimeout:   min(max(l.IdleTimeout, 0), maxCallerTime),
	}
}

// Config is an accepted configuration. It is immutable.
type Config struct {
	Version  uint64       `msgpack:"version"`  // chosen by the operator
	Routes   []Route      `msgpack:"routes"`   // sorted by name
	Services []Service    `msgpack:"services"` // sorted by name
	Limits   CallerLimits `msgpack:"limits"`
	Source   []byte       `msgpack:"source"` // JSON of the fields besides routes and services
	// LimitsSource is the JSON of the limits as the operator sent it.
	LimitsSource []byte `msgpack:"limits_source"`
}

// Service returns the service with the name.
func (cfg Config) Service(name string) (Service, bool) {
	i, ok := slices.BinarySearchFunc(cfg.Services, name, func(s Service, n string) int { return cmp.Compare(s.Name, n) })
	if !ok {
		return Service{}, false
	}
	return cfg.Services[i], true
}

// Coordinated reports whether the configuration states a limit that only a common count of
// all entries can keep: a service with a cold rate, or a route for uploads. Entries then ask
// dispatchers for the slots of targets.
func (cfg Config) Coordinated() bool {
	return slices.ContainsFunc(cfg.Services, func(s Service) bool { return s.ColdRate > 0 }) ||
		slices.ContainsFunc(cfg.Routes, func(r Route) bool { return r.Kind == Upload })
}

// ErrInvalid matches the errors of an invalid configuration.
var ErrInvalid = errors.New("configuration is invalid")

// FieldError reports an invalid field of a configuration. It matches ErrInvalid.
type FieldError struct {
	Field string
	Value any
	Rule  string
}

// Error returns the message.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: value %v: %s", e.Field, e.Value, e.Rule) }

// Is reports whether err is ErrInvalid.
func (e *FieldError) Is(err error) bool { return err == ErrInvalid }

// A route's objective must be less than its timeout plus maxObjectiveExcess. With an
// objective above the timeout, only the deadline limits the expected time of a request.
const maxObjectiveExcess = time.Minute

// Validate returns a FieldError for the first invalid field, or nil.
func (cfg Config) Validate() error { return cfg.validateRoutes(cfg.Routes) }

func (cfg Config) validateRoutes(routes []Route) error {
	for _, r := range routes {
		if err := cfg.validateRoute(r); err != nil {
			return err
		}
	}
	return nil
}

func (cfg Config) validateRoute(r Route) error {
	field := func(name string) string { return "routes." + r.Name + "." + name }
	switch {
	case r.Host == "":
		return &FieldError{Field: field("host"), Value: r.Host, Rule: "must not be empty"}
	case !slices.Contains(kinds, r.Kind):
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
		if _, ok := cfg.Service(s.Service); !ok {
			return &FieldError{Field: field("split"), Value: s.Service, Rule: "must name a service of this configuration"}
		}
	}
	return nil
}

// ConfigChange is an operator's change of the configuration: either a whole new
// configuration, or routes and services to set and to drop by name.
type ConfigChange struct {
	Digest       string        `msgpack:"digest"` // digest of the change as received; detects resends
	Version      uint64        `msgpack:"version"`
	Base         uint64        `msgpack:"base"` // version that the change is based on; 0 for the first one
	Whole        bool          `msgpack:"whole"`
	Routes       []Route       `msgpack:"routes"`
	Services     []Service     `msgpack:"services"`
	DropRoutes   []string      `msgpack:"drop_routes"`
	DropServices []string      `msgpack:"drop_services"`
	Limits       *CallerLimits `msgpack:"limits"` // nil keeps those in force
	LimitsSource []byte        `msgpack:"limits_source"`
	Source       []byte        `msgpack:"source"`
}

// ChangeFrom returns the change that turns old into this configuration. It leaves out
// the JSON that the operator sent (Source and LimitsSource), which routing does not
// need.
func (cfg Config) ChangeFrom(old Config) ConfigChange {
	limits := cfg.Limits
	c := ConfigChange{Version: cfg.Version, Base: old.Version, Limits: &limits}
	c.Routes, c.DropRoutes = changedItems(cfg.Routes, old.Routes, Route.name, Route.equal)
	c.Services, c.DropServices = changedItems(cfg.Services, old.Services, Service.name, Service.equal)
	for i := range c.Routes {
		c.Routes[i].Source = nil
	}
	for i := range c.Services {
		c.Services[i].Source = nil
	}
	return c
}

func (r Route) name() string { return r.Name }

func (r Route) equal(x Route) bool { return bytes.Equal(r.Source, x.Source) }

// same reports whether both routes are the same in all fields.
func (r Route) same(x Route) bool {
	if !r.equal(x) || !slices.Equal(r.Split, x.Split) {
		return false
	}
	return r.Name == x.Name && r.Host == x.Host && r.Prefix == x.Prefix && r.Kind == x.Kind && r.Timeout == x.Timeout &&
		r.Objective == x.Objective && r.Priority == x.Priority && r.Attempts == x.Attempts
}

func (s Service) name() string { return s.Name }

func (s Service) equal(x Service) bool { return bytes.Equal(s.Source, x.Source) }

// same reports whether both services are the same in all fields.
func (s Service) same(x Service) bool {
	if !s.equal(x) {
		return false
	}
	s.Source, x.Source = nil, nil
	return reflect.DeepEqual(s, x)
}

// changedItems returns the items that are new or differ from the old ones, and the
// names of old items that are missing. All lists are sorted by name.
func changedItems[T any](items, old []T, name func(T) string, equal func(a, b T) bool) (set []T, drop []string) {
	i := 0
	for _, x := range items {
		for i < len(old) && name(old[i]) < name(x) {
			drop = append(drop, name(old[i]))
			i++
		}
		if i < len(old) && name(old[i]) == name(x) {
			if !equal(x, old[i]) {
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

// ApplyTo returns the configuration after the change. It shares what did not change with cfg, so
// that it costs little to keep both.
func (c ConfigChange) ApplyTo(cfg Config) Config {
	next := Config{Version: c.Version, Limits: cfg.Limits, LimitsSource: cfg.LimitsSource, Source: c.Source}
	if !c.Whole {
		next.Source = cfg.Source
	}
	if c.Limits != nil {
		next.Limits, next.LimitsSource = *c.Limits, c.LimitsSource
	}
	next.Routes = withItems(cfg.Routes, c.Routes, c.DropRoutes, c.Whole, Route.name, Route.same)
	next.Services = withItems(cfg.Services, c.Services, c.DropServices, c.Whole, Service.name, Service.same)
	return next
}

// ValidateChange returns a FieldError for the first invalid field of the configuration that the
// change makes of a valid one, or nil. It checks only what the change can have made invalid.
func (c ConfigChange) ValidateChange(next Config) error {
	if c.Whole || len(c.DropServices) > 0 {
		return next.Validate()
	}
	return next.validateRoutes(sortedByName(c.Routes, Route.name))
}

// sortedByName returns the items sorted by name. Of those with the same name it keeps the last.
func sortedByName[T any](items []T, name func(T) string) []T {
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	kept := out[:0]
	for i, x := range out {
		if i+1 == len(out) || name(out[i+1]) != name(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

// withItems sets items by name after it has dropped some, or all others if whole is true. The
// given items must be sorted by name, as the result is. A set item that is the same as the given
// one is not stored again.
func withItems[T any](items, set []T, drop []string, whole bool, name func(T) string, same func(a, b T) bool) []T {
	set, drop = sortedByName(set, name), slices.Sorted(slices.Values(drop))
	out := make([]T, 0, len(items)+len(set))
	for len(set) > 0 || len(drop) > 0 {
		isSet := len(drop) == 0 || len(set) > 0 && name(set[0]) <= drop[0]
		next := ""
		if isSet {
			next = name(set[0])
		} else {
			next = drop[0]
		}
		i, found := slices.BinarySearchFunc(items, next, func(x T, n string) int { return cmp.Compare(name(x), n) })
		if !whole {
			out = append(out, items[:i]...)
		}
		items = items[i:]
		switch {
		case isSet && found && same(items[0], set[0]):
			out = append(out, items[0])
		case isSet:
			out = append(out, set[0])
		}
		if found {
			items = items[1:]
		}
		if isSet {
			set = set[1:]
		}
		for len(drop) > 0 && drop[0] == next {
			drop = drop[1:]
		}
	}
	if !whole {
		out = append(out, items...)
	}
	return out
}

// RouteTable finds the route of a request.
type RouteTable struct {
	hosts map[string][]*Route // by host, longest prefix first
}

// NewRouteTable returns the route table of a configuration.
func NewRouteTable(cfg Config) RouteTable {
	t := RouteTable{hosts: make(map[string][]*Route)}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the host's route with the longest matching prefix of the path.
func (t RouteTable) Find(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
