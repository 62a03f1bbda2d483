package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Instance holds the settings of one instance.
type Instance struct {
	Name             string
	AvailabilityZone string
	Entry            bool
	Control          bool
	Address          string   // where other instances reach this one: IP:PORT
	ListenAddress    string   // where it listens for them; Address if not set
	CallerAddress    string   // where callers reach it
	TargetAddress    string   // where targets announce themselves
	OperatorAddress  string   // where operators reach it; also serves metrics
	DataDir          string   // data directory of a control instance
	Bootstrap        []Peer   // the first control instances
	TLS              TLS      // between instances
	LogLevel         string   // debug, info, warn or error
	Capacity         int      // maximum number of requests in flight
	Drain            Duration // wait for the balancer after readiness is withdrawn
}

// TLS holds the paths of the PEM files with which instances authenticate to each
// other. All are empty if connections between instances are not encrypted.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Duration is the type of the durations in the settings.
type Duration = time.Duration

// Peer is the name of an instance and the address where other instances reach it.
type Peer struct {
	Name    string
	Address string
}

const (
	defaultCapacity = 512 // requests in flight
	maxCapacity     = 1 << 20
	defaultDrain    = 2 * time.Second
	maxDrain        = 5 * time.Minute
)

// Load reads and checks an instance's settings file.
func Load(path string) (Instance, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Instance{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseInstance(path, data)
}

// ParseInstance parses and checks an instance's settings. Name is the file name in
// errors.
func ParseInstance(name string, data []byte) (Instance, error) {
	f, err := Parse(name, data)
	if err != nil {
		return Instance{}, err
	}
	s := f.Section("instance")
	out := Instance{
		Name:             s.Required("name"),
		AvailabilityZone: s.Required("availability_zone"),
		LogLevel:         s.OneOf("log_level", "info", "debug", "info", "warn", "error"),
		Capacity:         s.Int("capacity", defaultCapacity, 1, maxCapacity),
		Drain:            s.Duration("drain", defaultDrain, 0, maxDrain),
		DataDir:          s.String("data", ""),
	}
	out.readRoles(s)
	out.readAddresses(s)
	out.readBootstrap(f.Section("control"))
	out.readTLS(f)
	return out, f.Finish("instance", "control", "tls")
}

// parseRoles parses the roles of an instance. It adds an error unless there is at least
// one and all are known.
func parseRoles(s *Section) (entry, control bool) {
	roles := s.List("roles")
	for _, r := range roles {
		if r != "entry" && r != "control" {
			s.AddError("roles", r, "must be entry, control or both"+suggestion(r, []string{"entry", "control"}))
		}
	}
	entry, control = slices.Contains(roles, "entry"), slices.Contains(roles, "control")
	if !entry && !control {
		s.AddError("roles", strings.Join(roles, ", "), "must name entry, control or both")
	}
	return entry, control
}

func (i *Instance) readRoles(s *Section) {
	i.Entry, i.Control = parseRoles(s)
	if i.Control && i.DataDir == "" {
		s.AddError("data", "", "must be given for the control role")
	}
}

func (i *Instance) readAddresses(s *Section) {
	i.Address = readAddress(s, "address", true)
	i.ListenAddress = readAddress(s, "listen_address", false)
	if i.ListenAddress == "" {
		i.ListenAddress = i.Address
	}
	i.OperatorAddress = readAddress(s, "operator_address", true)
	i.CallerAddress = readAddress(s, "caller_address", i.Entry)
	i.TargetAddress = readAddress(s, "target_address", i.Entry)
}

// readAddress returns an IP address with a port, or "" if it is missing and not
// required.
func readAddress(s *Section, key string, required bool) string {
	value := s.String(key, "")
	if value == "" && !required {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.AddError(key, value, "must be an IP address with a port, such as 127.0.0.1:7100")
	}
	return value
}

func (i *Instance) readTLS(f *File) {
	if !f.Has("tls") {
		return
	}
	s := f.Section("tls")
	i.TLS = TLS{Certificate: s.Required("certificate"), Key: s.Required("key"), Authority: s.Required("authority")}
}

func (i *Instance) readBootstrap(s *Section) {
	for _, item := range s.List("bootstrap") {
		name, addr, ok := strings.Cut(item, "@")
		if _, err := netip.ParseAddrPort(addr); !ok || err != nil || name == "" {
			s.AddError("bootstrap", item, "must be NAME@IP:PORT")
			continue
		}
		i.Bootstrap = append(i.Bootstrap, Peer{Name: name, Address: addr})
	}
	if len(i.Bootstrap) == 0 {
		s.AddError("bootstrap", "", "must list at least one control instance")
	}
}
