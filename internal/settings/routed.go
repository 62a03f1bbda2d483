package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Routed holds the settings of one instance of a routed deployment, which operators
// configure by routes and services instead of a configuration with members.
type Routed struct {
	Name             string
	AvailabilityZone string
	Entry            bool
	Control          bool
	Address          string   // where other instances reach this one: IP:PORT
	ListenAddress    string   // where it listens for them; Address if not set
	CallerAddress    string   // where callers reach it
	BalancerAddress  string   // for the balancer's readiness checks
	OperatorAddress  string   // of a control instance, for operators and targets
	RelayAddress     string   // where other entries pass requests on to this one; not served if empty
	DispatchAddress  string   // where other entries ask this one for slots of targets; not served if empty
	MetricsAddress   string   // not served if empty
	DataDir          string   // data directory of a control instance
	Seeds            []string // addresses of the first control instances
	Bootstrap        bool     // whether the first control instances may form a new deployment
	LogLevel         string

	Drain      time.Duration // wait for the balancer after readiness is withdrawn
	Grace      time.Duration // time limit of a graceful shutdown, until the process has exited
	RetryRatio float64       // retries of all entries together, as a share of requests
	RetrySlack float64       // retries of all entries together beyond that share
	MemoryMB   float64       // memory of the instance; 0 if it is not known
	LinkMbps   float64       // bandwidth of the instance's network link; 0 if it is not a bottleneck

	ConfigApply time.Duration // time within which an acknowledged configuration is in force at entries
	TargetDrain time.Duration // time for which a target that is leaving still serves requests
	MaxLease    time.Duration // longest lease of keys that targets accept
	Grants      GrantMode     // how targets are granted keys
	Heartbeat   time.Duration // time between two heartbeats of a target
	// PreferZone makes entries follow and report to control instances of their own
	// availability zone where there are any, because traffic between zones is costly.
	PreferZone bool
	// A cold target may get ColdExcess times the cold rate of its service plus ColdSlack
	// requests in any second, from all entries together.
	ColdExcess, ColdSlack float64
	// ZoneDelay is the round trip between availability zones, and ZoneLatePerMB how many late
	// answers are as bad as a megabyte between them. They decide when requests leave a zone.
	ZoneDelay     time.Duration
	ZoneLatePerMB float64
	Unknown       []string // names of the platform's settings that are ignored
}

// GrantMode is the way in which targets are granted keys.
type GrantMode string

// Ways of granting keys.
const (
	GrantByCall      GrantMode = "call"      // the leader calls targets
	GrantByHeartbeat GrantMode = "heartbeat" // in the responses to targets' heartbeats
)

const (
	defaultGrace      = 6 * time.Second
	maxGrace          = 5 * time.Minute
	defaultRetryRatio = 0.1
	defaultRetrySlack = 30

	defaultConfigApply = 2 * time.Second
	defaultTargetDrain = 2 * time.Second
	defaultMaxLease    = 10 * time.Second
	defaultHeartbeat   = time.Second
	defaultColdExcess  = 1.5
	defaultColdSlack   = 8
	defaultZoneDelay   = 3 * time.Millisecond
	maxZoneDelay       = 10 * time.Second
	defaultZoneLate    = 20
	maxPlatformTime    = 10 * time.Minute
)

// LoadRouted reads and checks the settings file of an instance of a routed
// deployment. If the file has the given section, extra reads it and may change the
// settings.
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
		RetrySlack:       s.Float("retry_slack", defaultRetrySlack, 0, 1e6),
		MemoryMB:         s.Float("memory_mb", 0, 0, 1e7),
		LinkMbps:         s.Float("link_mbps", 0, 0, 1e6),
		ConfigApply:      s.Duration("config_apply", defaultConfigApply, 0, maxPlatformTime),
		TargetDrain:      s.Duration("target_drain", defaultTargetDrain, 0, maxPlatformTime),
		MaxLease:         s.Duration("max_lease", defaultMaxLease, time.Second, maxPlatformTime),
		Heartbeat:        s.Duration("heartbeat", defaultHeartbeat, 10*time.Millisecond, maxPlatformTime),
		PreferZone:       s.Bool("prefer_zone", false),
		ColdExcess:       defaultColdExcess,
		ColdSlack:        defaultColdSlack,
		ZoneDelay:        s.Duration("zone_delay", defaultZoneDelay, 0, maxZoneDelay),
		ZoneLatePerMB:    s.Float("zone_late_per_mb", defaultZoneLate, 0, 1e6),
		Grants:           GrantMode(s.OneOf("grants", string(GrantByCall), string(GrantByCall), string(GrantByHeartbeat))),
	}
	out.readRolesAndAddresses(s)
	out.readSeeds(f.Section("control"))
	if section != "" && f.Has(section) {
		extra(f.Section(section), &out)
	}
	return out, f.Finish("instance", "control", section)
}

func (r *Routed) readRolesAndAddresses(s *Section) {
	r.Entry, r.Control = parseRoles(s)
	if r.Control && r.DataDir == "" {
		s.AddError("data", "", "must be given for the control role")
	}
	r.Address = readAddress(s, "address", true)
	r.ListenAddress = readAddress(s, "listen_address", false)
	if r.ListenAddress == "" {
		r.ListenAddress = r.Address
	}
	r.CallerAddress = readAddress(s, "caller_address", r.Entry)
	r.BalancerAddress = readAddress(s, "balancer_address", r.Entry)
	r.OperatorAddress = readAddress(s, "operator_address", r.Control)
	r.RelayAddress = readAddress(s, "relay_address", false)
	r.DispatchAddress = readAddress(s, "dispatch_address", false)
	r.MetricsAddress = readAddress(s, "metrics_address", false)
}

// readSeeds reads the addresses of the seeds. If seed_port is given, it replaces the
// port of each, because instances reach each other at a port of their own.
func (r *Routed) readSeeds(s *Section) {
	r.Bootstrap = s.Bool("bootstrap", false)
	port := s.Int("seed_port", 0, 0, 65535)
	for _, item := range s.List("seeds") {
		a, err := netip.ParseAddrPort(item)
		if err != nil {
			s.AddError("seeds", item, "must be an IP address with a port, such as 127.0.0.1:7100")
			continue
		}
		if port > 0 {
			a = netip.AddrPortFrom(a.Addr(), uint16(port))
		}
		r.Seeds = append(r.Seeds, a.String())
	}
	if len(r.Seeds) == 0 {
		s.AddError("seeds", "", "must list at least one control instance")
	}
}
