package loop

const (
	defaultQueue = 1024 // events
	defaultBatch = 256  // events
)

type options struct {
	queue int
	batch int
}

// Option changes how a loop runs.
type Option func(*options)

// WithQueue sets how many events may wait before Send blocks.
func WithQueue(n int) Option {
	return func(o *options) { o.queue = n }
}

// WithBatch sets how many queued events share one call of the runner.
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
