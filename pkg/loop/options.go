package loop

const (
	defaultQueue = 1024 // events
	defaultBatch = 256  // events
)

type options struct {
	queue int
	batch int
}

// Option configures a loop.
type Option func(*options)

// WithQueue sets the length of the event queue; Send blocks while it is full.
func WithQueue(n int) Option {
	return func(o *options) { o.queue = n }
}

// WithBatch sets the largest number of events whose effects are passed to one call
// of the runner.
func WithBatch(n int) Option {
	return func(o *options) { o.batch = n }
}

func newOptions(opts []Option) options {
	o := options{queue: defaultQueue, batch: defaultBatch}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
