// Package config parses and checks the configuration of a deployment: one INI file
// that operators propose and that the members named in it vote on.
package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/settings"
)

// ErrInvalidChange reports a configuration that can't replace the accepted one.
var ErrInvalidChange = errors.New("configuration can't replace the accepted one")

// Kind is the kind of requests that a service serves.
type Kind string

// Kinds of services. A lookup may be repeated, a booking runs at most once, and a
// download may be resumed.
const (
	Lookup   Kind = "lookup"
	Booking  Kind = "booking"
	Download Kind = "download"
)

// KeyFrom is the part of a request that contains its key.
type KeyFrom string

// Parts of a request that can contain its key. KeyNone means that the service has no
// keys.
const (
	KeyNone   KeyFrom = "none"
	KeyPath   KeyFrom = "path"
	KeyQuery  KeyFrom = "query"
	KeyHeader KeyFrom = "header"
)

// Takeover says what happens to the keys of a lost target that does not check fences
// and is not known to have stopped.
type Takeover string

// TakeoverWait keeps the keys unavailable until the target is known to have stopped.
// TakeoverMove gives them to another target once all leases of the lost one have
// expired.
const (
	TakeoverWait Takeover = "wait"
	TakeoverMove Takeover = "move"
)

// Values of Config.Minimize, the key weighs: what the planner keeps low when it decides
// whether to move keys.
const (
	MinimizeUnavailableTime = "unavailable_time"
	MinimizeChurn           = "churn"
)

// Config is a parsed and checked configuration.
type Config struct {
	Deployment string
	Minimize   string // MinimizeUnavailableTime or MinimizeChurn
	Bookings   Bookings
	Members    []Member
	Instances  []Instance
	Services   []Service
}

// Bookings configures how booking records are stored.
type Bookings struct {
	Groups         int           // replicated logs among which the bookings are divided
	Retention      time.Duration // how long the record of a finished booking is kept
	MaxAnswerBytes int           // largest stored answer
}

// Member is an operator who may vote on configurations.
type Member struct {
	Name      string
	PublicKey ed25519.PublicKey
}

// Instance is one process of the system, with its roles.
type Instance struct {
	Name             string
	Address          string
	AvailabilityZone string
	Control          bool
	Entry            bool
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name           string
	Kind           Kind
	Prefix         string // of the path
	Methods        []string
	Key            KeySource
	Deadline       time.Duration
	Ranges         int
	DependsOn      []string
	MaxBodyBytes   int     // largest request body
	RetryBudget    float64 // retries per request
	MaxWaiting     int     // requests per entry that may wait for a target
	Objective      float64 // share of requests to be answered within the deadline
	Takeover       Takeover
	MovesPerMinute int
}

// KeySource says where a request contains its key.
type KeySource struct {
	From    KeyFrom
	Name    string // of the query field or header
	Segment int    // number of the path segment after the prefix, from 1
}

// Keyed reports whether targets own keys of this service.
func (s Service) Keyed() bool { return s.Key.From != KeyNone }

// Service returns the service with the given name.
func (c Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Member returns the member with the given name.
func (c Config) Member(name string) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// Match returns the service with the longest prefix that matches the path.
func (c Config) Match(path string) (Service, bool) {
	best := Service{}
	for _, s := range c.Services {
		if strings.HasPrefix(path, s.Prefix) && len(s.Prefix) > len(best.Prefix) {
			best = s
		}
	}
	return best, best.Name != ""
}

// Limits and defaults of the configuration's fields.
const (
	maxDeadline           = 5 * time.Minute
	maxRanges             = 1 << 16
	maxBodyBytes          = 64 << 20
	maxAnswerBytes        = 8 << 20
	maxGroups             = 64
	maxRetention          = 90 * 24 * time.Hour
	maxWaiting            = 1 << 16
	maxMovesPerMinute     = 10_000
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxAnswerBytes = 256 << 10
)

// Parse parses and checks a configuration. Name is the file name in errors. The error
// joins a settings.ValidationError for each violation.
func Parse(name string, data []byte) (Config, error) {
	f, err := settings.Parse(name, data)
	if err != nil {
		return Config{}, err
	}
	d := f.Section("deployment")
	c := Config{
		Deployment: d.Required("name"),
		Minimize:   d.OneOf("weighs", MinimizeUnavailableTime, MinimizeUnavailableTime, MinimizeChurn),
	}
	b := f.Section("bookings")
	c.Bookings = Bookings{
		Groups:         b.Int("groups", 1, 1, maxGroups),
		Retention:      b.Duration("retention", 24*time.Hour, time.Minute, maxRetention),
		MaxAnswerBytes: b.Int("max_answer_bytes", defaultMaxAnswerBytes, 1, maxAnswerBytes),
	}
	c.readMembers(f)
	c.readInstances(f)
	c.readServices(f)
	return c, f.Finish("deployment", "bookings", "member", "instance", "service")
}

func (c *Config) readMembers(f *settings.File) {
	sections, names := f.NamedSections("member")
	for i, s := range sections {
		value := s.Required("public_key")
		key, err := base64.StdEncoding.DecodeString(value)
		if err != nil || len(key) != ed25519.PublicKeySize {
			s.AddError("public_key", value, "must be 32 bytes of an Ed25519 public key in base64")
		}
		c.Members = append(c.Members, Member{Name: names[i], PublicKey: key})
	}
	if len(sections) == 0 {
		f.Section("deployment").AddError("", "", "at least one section [member NAME] must be given")
	}
}

func (c *Config) readInstances(f *settings.File) {
	sections, names := f.NamedSections("instance")
	controlCount := 0
	for i, s := range sections {
		roles := s.List("roles")
		for _, r := range roles {
			if r != "entry" && r != "control" {
				s.AddError("roles", r, "must be entry, control or both")
			}
		}
		inst := Instance{
			Name:             names[i],
			Address:          s.Required("address"),
			AvailabilityZone: s.Required("availability_zone"),
			Control:          slices.Contains(roles, "control"),
			Entry:            slices.Contains(roles, "entry"),
		}
		if _, err := netip.ParseAddrPort(inst.Address); err != nil {
			s.AddError("address", inst.Address, "must be an IP address with a port")
		}
		if inst.Control {
			controlCount++
		}
		c.Instances = append(c.Instances, inst)
	}
	if controlCount == 0 {
		f.Section("deployment").AddError("", "", "at least one instance must have the control role")
	}
}

// ControlInstances returns the instances with the control role, which store the
// replicated state.
func (c Config) ControlInstances() []Instance {
	return slices.DeleteFunc(slices.Clone(c.Instances), func(i Instance) bool { return !i.Control })
}

// CheckChange returns errors that wrap ErrInvalidChange if the configuration can't
// replace the accepted one.
func (c Config) CheckChange(accepted Config) error {
	var errs []error
	if c.Deployment != accepted.Deployment {
		errs = append(errs, changeError("deployment", "name", c.Deployment, "must stay "+accepted.Deployment))
	}
	if c.Bookings.Groups != accepted.Bookings.Groups {
		errs = append(errs, changeError("bookings", "groups", "", "must not change once bookings are recorded"))
	}
	for _, s := range c.Services {
		old, ok := accepted.Service(s.Name)
		if ok && old.Keyed() && s.Keyed() && old.Ranges != s.Ranges {
			errs = append(errs, changeError("service "+s.Name, "ranges", strconv.Itoa(s.Ranges), fmt.Sprintf("must stay %d while the service has keys", old.Ranges)))
		}
	}
	return errors.Join(errs...)
}

func changeError(section, key, value, rule string) error {
	return errors.Join(ErrInvalidChange, settings.ValidationError{File: "text", Section: section, Key: key, Value: value, Rule: rule})
}
