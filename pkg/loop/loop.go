// Package loop runs a reducer in a goroutine. A reducer is a state whose Update
// method takes one event and returns the next state and a list of effects. The
// loop owns the state, applies events one at a time and passes the effects to a
// runner.
//
//	l, stop := loop.New(ctx, model, run)
//	defer stop()
//	l.Send(event)
package loop

import (
	"context"
	"errors"
	"sync"
)

// ErrStopped is returned for an event that was sent after the loop ended.
var ErrStopped = errors.New("loop stopped")

// Model is a reducer over events of type E with effects of type F.
type Model[M, E, F any] interface {
	// Update returns the state after the event and the effects to run.
	Update(event E) (M, []F)
}

// Runner carries out the effects of a batch of events, in order. It must not
// block for long, because the loop waits for it. An error ends the loop.
type Runner[F any] func(ctx context.Context, effects []F) error

// Loop applies events to one model. Its methods are safe for concurrent use.
type Loop[M Model[M, E, F], E, F any] struct {
	events chan E
	done   chan struct{}
	run    Runner[F]
	batch  int
	mu     sync.Mutex
	err    error
}

// New starts a loop over the model. It returns the loop and a function that ends
// it and waits for its goroutine. The loop also ends when ctx is done.
func New[M Model[M, E, F], E, F any](ctx context.Context, model M, run Runner[F], opts ...Option) (*Loop[M, E, F], func()) {
	cfg := newOptions(opts)
	ctx, cancel := context.WithCancel(ctx)
	l := &Loop[M, E, F]{
		events: make(chan E, cfg.queue),
		done:   make(chan struct{}),
		run:    run,
		batch:  cfg.batch,
	}
	go l.serve(ctx, model)
	return l, func() {
		cancel()
		<-l.done
	}
}

// Send queues an event, blocking while the queue is full. After the loop has ended it
// returns ErrStopped, but while the queue has space it may also queue the event,
// which is then never applied, and return nil.
func (l *Loop[M, E, F]) Send(event E) error {
	select {
	case l.events <- event:
		return nil
	case <-l.done:
		return ErrStopped
	}
}

// TrySend queues an event without blocking. It reports false if the queue is full. It
// doesn't check whether the loop has ended.
func (l *Loop[M, E, F]) TrySend(event E) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// Queued returns the number of events that wait to be applied.
func (l *Loop[M, E, F]) Queued() int { return len(l.events) }

// Done returns a channel that is closed when the loop has ended.
func (l *Loop[M, E, F]) Done() <-chan struct{} { return l.done }

// Err returns the runner's error if it ended the loop, else nil.
func (l *Loop[M, E, F]) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

func (l *Loop[M, E, F]) serve(ctx context.Context, model M) {
	defer close(l.done)
	var effects []F
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			model, effects = l.updateBatch(model, event, effects[:0])
			if err := l.run(ctx, effects); err != nil {
				l.setErr(err)
				return
			}
		}
	}
}

// updateBatch applies the event and the queued ones, up to the batch size, and
// appends their effects.
func (l *Loop[M, E, F]) updateBatch(model M, event E, effects []F) (M, []F) {
	for n := 1; ; n++ {
		var out []F
		model, out = model.Update(event)
		effects = append(effects, out...)
		if n >= l.batch {
			return model, effects
		}
		select {
		case event = <-l.events:
		default:
			return model, effects
		}
	}
}

func (l *Loop[M, E, F]) setErr(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}
