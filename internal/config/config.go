// Package config reads the deployment's configuration: the one INI file by which
// operators drive the system, voted on by the members that it names.
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

// ErrChange reports a configuration that may not follow the accepted one.
var ErrChange = errors.New("text may not follow the accepted one")

// Kind is what a service does for its callers.
type Kind string

// Kinds of services. A booking runs at most once; a lookup may be repeated; a
// download may be resumed.
const (
	Lookup   Kind = "lookup"
	Booking  Kind = "booking"
	Download Kind = "download"
)

// KeyFrom is the part of a request that holds its key.
type KeyFrom string

// Sources of a key.
const (
	KeyNone   KeyFrom = "none"
	KeyPath   KeyFrom = "path"
	KeyQuery  KeyFrom = "query"
	KeyHeader KeyFrom = "header"
)

// Takeover is what happens to the keys of a lost target that does not check
// fences and whose end is not proved.
type Takeover string

// TakeoverWait keeps the keys unavailable until the target's end is proved;
// TakeoverMove gives them to another target after the lease is over.
const (
	TakeoverWait Takeover = "wait"
	TakeoverMove Takeover = "move"
)

// What a deployment weighs most when keys might move.
const (
	WeighsUnavailableTime = "unavailable_time"
	WeighsChurn           = "churn"
)

// Config is a checked configuration.
type Config struct {
	Deployment string
	Weighs     string // WeighsUnavailableTime or WeighsChurn
	Bookings   Bookings
	Members    []Member
	Instances  []Instance
	Services   []Service
}

// Bookings says how booking records are kept.
type Bookings struct {
	Groups    int           // replicated logs that share the bookings
	Retention time.Duration // how long a finished booking is remembered
	MaxAnswer int           // bytes of a stored answer
}

// Member may vote.
type Member struct {
	Name      string
	PublicKey ed25519.PublicKey
}

// Instance is one of the system's own instances.
type Instance struct {
	Name             string
	Address          string
	AvailabilityZone string
	Control          bool
	Entry            bool
}

// Service is a group of targets that serve one kind of request.
type Service struct {
	Name         string
	Kind         Kind
	Prefix       string // of the path
	Methods      []string
	Key          KeySource
	Deadline     time.Duration
	Ranges       int
	DependsOn    []string
	MaxBody      int     // bytes
	RetryBudget  float64 // retries per request
	MaxWaiting   int     // requests of one entry that wait for a target
	Objective    float64 // share of requests to be answered within the deadline
	Takeover     Takeover
	MovesAMinute int
}

// KeySource says where a request's key is found.
type KeySource struct {
	From KeyFrom
	Name string // of the query field or header
	Part int    // of the path after the prefix, from 1
}

// Keyed reports whether targets own keys of this service.
func (s Service) Keyed() bool { return s.Key.From != KeyNone }

// Service returns the service with the name.
func (t Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return t.Services[i], true
}

// Member returns the member with the name.
func (t Config) Member(name string) (Member, bool) {
	i := slices.IndexFunc(t.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return t.Members[i], true
}

// Match returns the service with the longest prefix of the path.
func (t Config) Match(path string) (Service, bool) {
	best := Service{}
	for _, s := range t.Services {
		if strings.HasPrefix(path, s.Prefix) && len(s.Prefix) > len(best.Prefix) {
			best = s
		}
	}
	return best, best.Name != ""
}

// Limits of the configuration's fields.
const (
	maxDeadline   = 5 * time.Minute
	maxRanges     = 1 << 16
	maxBody       = 64 << 20
	maxAnswer     = 8 << 20
	maxGroups     = 64
	maxRetention  = 90 * 24 * time.Hour
	maxWaiting    = 1 << 16
	maxMoves      = 10_000
	defaultBody   = 1 << 20
	defaultAnswer = 256 << 10
)

// Parse reads and checks a configuration. Name is used in faults.
func Parse(name string, data []byte) (Config, error) {
	f, err := settings.Parse(name, data)
	if err != nil {
		return Config{}, err
	}
	d := f.Section("deployment")
	out := Config{
		Deployment: d.Required("name"),
		Weighs:     d.OneOf("weighs", WeighsUnavailableTime, WeighsUnavailableTime, WeighsChurn),
	}
	b := f.Section("bookings")
	out.Bookings = Bookings{
		Groups:    b.Int("groups", 1, 1, maxGroups),
		Retention: b.Duration("retention", 24*time.Hour, time.Minute, maxRetention),
		MaxAnswer: b.Int("max_answer_bytes", defaultAnswer, 1, maxAnswer),
	}
	out.readMembers(f)
	out.readInstances(f)
	out.readServices(f)
	return out, f.Finish("deployment", "bookings", "member", "instance", "service")
}

func (t *Config) readMembers(f *settings.File) {
	sections, names := f.NamedSections("member")
	for i, s := range sections {
		value := s.Required("public_key")
		key, err := base64.StdEncoding.DecodeString(value)
		if err != nil || len(key) != ed25519.PublicKeySize {
			s.AddError("public_key", value, "must be 32 bytes of an Ed25519 public key in base64")
		}
		t.Members = append(t.Members, Member{Name: names[i], PublicKey: key})
	}
	if len(sections) == 0 {
		f.Section("deployment").AddError("", "", "at least one section [member NAME] must be given")
	}
}

func (t *Config) readInstances(f *settings.File) {
	sections, names := f.NamedSections("instance")
	control := 0
	for i, s := range sections {
		roles := s.List("roles")
		for _, r := range roles {
			if r != "entry" && r != "control" {
				s.AddError("roles", r, "must be entry, control or both")
			}
		}
		x := Instance{
			Name:             names[i],
			Address:          s.Required("address"),
			AvailabilityZone: s.Required("availability_zone"),
			Control:          slices.Contains(roles, "control"),
			Entry:            slices.Contains(roles, "entry"),
		}
		if _, err := netip.ParseAddrPort(x.Address); err != nil {
			s.AddError("address", x.Address, "must be an IP address with a port")
		}
		if x.Control {
			control++
		}
		t.Instances = append(t.Instances, x)
	}
	if control == 0 {
		f.Section("deployment").AddError("", "", "at least one instance must have the control role")
	}
}

// ControlInstances returns the instances that keep the durable state.
func (t Config) ControlInstances() []Instance {
	return slices.DeleteFunc(slices.Clone(t.Instances), func(i Instance) bool { return !i.Control })
}

// CheckChange returns an error if the configuration may not follow the accepted one.
func (t Config) CheckChange(accepted Config) error {
	var errs []error
	if t.Deployment != accepted.Deployment {
		errs = append(errs, errorf("deployment", "name", t.Deployment, "must stay "+accepted.Deployment))
	}
	if t.Bookings.Groups != accepted.Bookings.Groups {
		errs = append(errs, errorf("bookings", "groups", "", "must not change once bookings are recorded"))
	}
	for _, s := range t.Services {
		old, ok := accepted.Service(s.Name)
		if ok && old.Keyed() && s.Keyed() && old.Ranges != s.Ranges {
			errs = append(errs, errorf("service "+s.Name, "ranges", strconv.Itoa(s.Ranges), fmt.Sprintf("must stay %d while the service has keys", old.Ranges)))
		}
	}
	return errors.Join(errs...)
}

func errorf(section, key, value, rule string) error {
	return errors.Join(ErrChange, settings.ValidationError{File: "text", Section: section, Key: key, Value: value, Rule: rule})
}
