package local

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/daemon"
)

type options struct {
	deployment    string
	config        string
	instances     int
	controls      int
	targets       int
	slots         int
	connections   int
	capacity      int
	checksFence   bool
	work          time.Duration
	downloadBytes int
	drain         time.Duration
	caller        string
	operator      string
	timing        daemon.Timing
	log           *log.Logger
}

func newOptions(opts []Option) options {
	o := options{
		deployment:    "zarqa",
		instances:     3,
		controls:      3,
		targets:       2,
		slots:         4,
		connections:   120,
		capacity:      512,
		checksFence:   true,
		work:          2 * time.Millisecond,
		downloadBytes: 256 << 10,
		timing:        daemon.DefaultTiming(),
		log:           newLogger(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Option configures a deployment.
type Option func(*options)

// WithDeployment sets the deployment's name, which selects the example configuration.
func WithDeployment(name string) Option { return func(o *options) { o.deployment = name } }

// WithConfig sets a configuration whose services replace those of the example. It must
// have a [bookings] section.
func WithConfig(source string) Option { return func(o *options) { o.config = source } }

// WithInstances sets the number of instances and how many of them have the control
// role.
func WithInstances(n, controls int) Option {
	return func(o *options) { o.instances, o.controls = n, controls }
}

// WithTargets sets the number of stand-in targets of each service and the number of
// slots of each target.
func WithTargets(n, slots int) Option {
	return func(o *options) { o.targets, o.slots = n, slots }
}

// WithFences sets whether the targets check leases, epochs and fences.
func WithFences(check bool) Option { return func(o *options) { o.checksFence = check } }

// WithWork sets how long a target works on each request.
func WithWork(d time.Duration) Option { return func(o *options) { o.work = d } }

// WithCapacity sets how many requests an instance accepts in flight.
func WithCapacity(n int) Option { return func(o *options) { o.capacity = n } }

// WithDownloadBytes sets the size of a download in bytes.
func WithDownloadBytes(n int) Option { return func(o *options) { o.downloadBytes = n } }

// WithAddresses sets the first instance's addresses for callers and operators; if
// empty, free loopback addresses are used.
func WithAddresses(caller, operator string) Option {
	return func(o *options) { o.caller, o.operator = caller, operator }
}

// WithLog sets the logger of all instances.
func WithLog(l *log.Logger) Option { return func(o *options) { o.log = l } }
