// Package loop runs a reducer: a value whose state changes only in Update,
// which takes one event and returns the next state and a list of effects.
// The loop owns the state, feeds it events one at a time and hands the
// effects to a runner.
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

// ErrStopped reports an event that was sent after the loop had ended.
var ErrStopped = errors.New("loop stopped")

// Model is a reducer over events of type E with effects of type F.
type Model[M, E, F any] interface {
	// Update returns the state after the event and the effects to run.
	Update(event E) (M, []F)
}

// Runner carries out the effects of a batch of events, in order. It must not
// block for long. An error ends the loop.
type Runner[F any] func(ctx context.Context, effects []F) error

// Loop feeds events to one model. Its methods are safe for concurrent use.
type Loop[M Model[M, E, F], E, F any] struct {
	events chan E
	done   chan struct{}
	run    Runner[F]
	batch  int
	mu     sync.Mutex
	err    error
}

// New starts a loop over the model and returns it with its clean-up function,
// which ends the loop and waits for the goroutine. It also ends with ctx.
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

// Send queues an event and waits while the queue is full. It returns
// ErrStopped when the loop has ended.
func (l *Loop[M, E, F]) Send(event E) error {
	select {
	case l.events <- event:
		return nil
	case <-l.done:
		return ErrStopped
	}
}

// TrySend queues an event unless the queue is full and reports whether it did.
func (l *Loop[M, E, F]) TrySend(event E) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// Done is closed when the loop has ended.
func (l *Loop[M, E, F]) Done() <-chan struct{} { return l.done }

// Err returns the runner's error that ended the loop, if any.
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
				l.fail(err)
				return
			}
		}
	}
}

// updateBatch applies the event and those already queued, up to the batch size.
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

func (l *Loop[M, E, F]) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}
