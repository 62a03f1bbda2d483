package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Routed is the settings of one instance of a routed deployment, which operators
// drive by routes and services instead of a configuration with members.
type Routed struct {
	Name             string
	AvailabilityZone string
	Entry            bool
	Control          bool
	Address          string   // where other instances reach this one: IP:PORT
	ListenAddress    string   // where it listens for them, if not at Address
	CallerAddress    string   // for callers
	BalancerAddress  string   // for the balancer's health checks
	OperatorAddress  string   // of a control instance, for operators and targets
	MetricsAddress   string   // "" for none
	DataDir          string   // of a control instance
	Seeds            []string // addresses of the first control instances
	Bootstrap        bool     // the deployment starts for the first time
	LogLevel         string

	Drain      time.Duration // wait for the balancer after readiness is withdrawn
	Grace      time.Duration // longest planned stop
	RetryRatio float64       // retries of all entries, as a share of requests
	RetryBurst float64       // retries that one entry may save up
	LinkMbps   float64       // of the instance's network link; 0 where it does not matter
}

const (
	defaultGrace      = 6 * time.Second
	maxGrace          = 5 * time.Minute
	defaultRetryRatio = 0.1
	defaultRetryBurst = 3
)

// LoadRouted reads the settings of an instance of a routed deployment. Extra
// reads a section of the caller's own and may change what was read.
func LoadRouted(path string, section string, extra func(s *Section, r *Routed)) (Routed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Routed{}, fmt.Errorf("read settings: %w", err)
	}
	f, err := Parse(path, data)
	if err != nil {
		return Routed{}, err
	}
	s := f.Section("instance")
	out := Routed{
		Name:             s.Required("name"),
		AvailabilityZone: s.Required("availability_zone"),
		LogLevel:         s.OneOf("log_level", "info", "debug", "info", "warn", "error"),
		DataDir:          s.String("data", ""),
		Drain:            s.Duration("drain", defaultDrain, 0, maxDrain),
		Grace:            s.Duration("grace", defaultGrace, 0, maxGrace),
		RetryRatio:       s.Float("retry_ratio", defaultRetryRatio, 0, 1),
		RetryBurst:       s.Float("retry_burst", defaultRetryBurst, 0, 1e6),
		LinkMbps:         s.Float("link_mbps", 0, 0, 1e6),
	}
	out.readRoles(s)
	out.readSeeds(f.Section("control"))
	if section != "" && f.Has(section) {
		extra(f.Section(section), &out)
	}
	return out, f.Finish("instance", "control", section)
}

func (r *Routed) readRoles(s *Section) {
	r.Entry, r.Control = readRoles(s)
	if r.Control && r.DataDir == "" {
		s.Fault("data", "", "must be given for the control role")
	}
	r.Address = address(s, "address", true)
	r.ListenAddress = address(s, "listen_address", false)
	if r.ListenAddress == "" {
		r.ListenAddress = r.Address
	}
	r.CallerAddress = address(s, "caller_address", r.Entry)
	r.BalancerAddress = address(s, "balancer_address", r.Entry)
	r.OperatorAddress = address(s, "operator_address", r.Control)
	r.MetricsAddress = address(s, "metrics_address", false)
}

// readSeeds reads the seeds. Where seed_port is given, it replaces the port of
// each: other instances are reached at their own port.
func (r *Routed) readSeeds(s *Section) {
	r.Bootstrap = s.Bool("bootstrap", false)
	port := s.Int("seed_port", 0, 0, 65535)
	for _, item := range s.List("seeds") {
		a, err := netip.ParseAddrPort(item)
		if err != nil {
			s.Fault("seeds", item, "must be an IP address with a port, such as 127.0.0.1:7100")
			continue
		}
		if port > 0 {
			a = netip.AddrPortFrom(a.Addr(), uint16(port))
		}
		r.Seeds = append(r.Seeds, a.String())
	}
	if len(r.Seeds) == 0 {
		s.Fault("seeds", "", "must list at least one control instance")
	}
}
