package group

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// applier applies committed entries and snapshots in a goroutine of its own, in the order of
// the log. A long log would otherwise hold up the replica's loop, so that heartbeats are late
// and the leader is replaced.
type applier[S Machine[S]] struct {
	group *Group[S]
	wake  chan struct{}
	// levelWritten receives a value after the log file was marked with a level.
	levelWritten chan struct{}

	mu    sync.Mutex
	queue []replica.Effect // Apply, Restore and Recovered
	err   error            // that ended it

	recovered atomic.Bool
	recoverAt uint64     // index that Recovered named; 0 before it
	withheld  []resolved // results of proposals that readers can't see yet
}

// resolved is an applied proposal and its outcome.
type resolved struct {
	token   uint64
	outcome outcome
}

func newApplier[S Machine[S]](g *Group[S]) *applier[S] {
	return &applier[S]{group: g, wake: make(chan struct{}, 1), levelWritten: make(chan struct{}, 1)}
}

// add queues an effect.
func (a *applier[S]) add(effect replica.Effect) {
	a.mu.Lock()
	a.queue = append(a.queue, effect)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// take returns the queued effects and empties the queue.
func (a *applier[S]) take() []replica.Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queue
	a.queue = nil
	return queue
}

// queued returns the number of effects that wait.
func (a *applier[S]) queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue)
}

// failure returns the error that ended the applier, if any.
func (a *applier[S]) failure() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// run starts the applier. The returned function waits for its end after ctx has ended.
func (a *applier[S]) run(ctx context.Context) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := a.serve(ctx); err != nil && ctx.Err() == nil {
			a.mu.Lock()
			a.err = err
			a.mu.Unlock()
			a.group.wakeLoop()
		}
	}()
	return func() { <-done }
}

func (a *applier[S]) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for _, effect := range a.take() {
			if err := a.handle(ctx, effect); err != nil {
				return err
			}
		}
		a.group.resolveReads()
		a.group.notifier.notify()
	}
}

func (a *applier[S]) handle(ctx context.Context, effect replica.Effect) error {
	switch e := effect.(type) {
	case replica.Apply:
		return a.apply(ctx, e.Entries)
	case replica.Restore:
		return a.restore(ctx, e.Snapshot)
	case replica.Recovered:
		a.recoverAt = e.Index
		return a.publish(ctx, a.group.latest.Load())
	}
	return nil
}

func (a *applier[S]) apply(ctx context.Context, entries []replica.Entry) error {
	defer a.group.applies.start()()
	latest := a.group.latest.Load()
	state, cost := latest.State, latest.cost
	for _, e := range entries {
		begun := time.Now()
		var value []byte
		if e.Kind == replica.EntryCommand {
			var err error
			if state, value, err = applyCommand(state, e); err != nil {
				return fmt.Errorf("apply record %d: %w", e.Index, err)
			}
		}
		cost = cost.withEntry(e, time.Since(begun))
		if err := a.publish(ctx, &latestState[S]{Applied: Applied[S]{Index: e.Index, State: state}, cost: cost}); err != nil {
			return err
		}
		if p, ok := a.group.proposals.take(e.Index); ok {
			a.resolve(p.token, outcomeOf(p, e, value))
		}
		// On one core the loop would otherwise wait until a time slice ends after each write to
		// the disk.
		runtime.Gosched()
	}
	return nil
}

// publish shows the state to readers, unless the replica has not recovered yet. If the state
// has a higher feature level, the log file is marked first.
func (a *applier[S]) publish(ctx context.Context, next *latestState[S]) error {
	g := a.group
	g.latest.Store(next)
	if err := a.awaitFileLevel(ctx, levelOf(&next.State)); err != nil {
		return err
	}
	if !a.recovered.Load() && (a.recoverAt == 0 || next.Index < a.recoverAt) {
		return nil
	}
	g.applied.Store(&next.Applied)
	if a.recovered.Swap(true) {
		return nil
	}
	for _, r := range a.withheld {
		g.waiters.resolve(r.token, r.outcome)
	}
	a.withheld = nil
	return nil
}

// awaitFileLevel waits until the loop, which owns the log file, has marked it with the level.
func (a *applier[S]) awaitFileLevel(ctx context.Context, level uint64) error {
	for level > max(a.group.fileLevel.Load(), 1) {
		a.group.wakeLoop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.group.loop.Done():
			return ErrOutcomeUnknown
		case <-a.levelWritten:
		}
	}
	return ctx.Err()
}

// wakeLoop makes the loop run its effects.
func (g *Group[S]) wakeLoop() { _ = g.loop.Send(replica.StatusRequested{}) }

// resolve resolves a waiter once readers can see the state that contains its command.
func (a *applier[S]) resolve(token uint64, o outcome) {
	if a.recovered.Load() {
		a.group.waiters.resolve(token, o)
		return
	}
	a.withheld = append(a.withheld, resolved{token: token, outcome: o})
}

// restore replaces the state by a snapshot. The snapshot may or may not contain
// the proposals up to its index, so their outcome is unknown.
func (a *applier[S]) restore(ctx context.Context, s replica.Snapshot) error {
	state, err := a.group.decode(s)
	if err != nil {
		return fmt.Errorf("restore snapshot at %d: %w", s.Index, err)
	}
	cost := a.group.latest.Load().cost
	if err := a.publish(ctx, &latestState[S]{Applied: Applied[S]{Index: s.Index, State: state}, cost: cost}); err != nil {
		return err
	}
	for _, p := range a.group.proposals.takeUpTo(s.Index) {
		a.group.waiters.resolve(p.token, outcome{err: ErrOutcomeUnknown})
	}
	return nil
}

// applyCommand applies one committed command.
func applyCommand[S Machine[S]](state S, e replica.Entry) (S, []byte, error) {
	if strict, ok := any(state).(Strict[S]); ok {
		return strict.TryApply(e.Index, e.Data)
	}
	next, value := state.Apply(e.Index, e.Data)
	return next, value, nil
}

// proposal is an appended command: its waiter's token and the term of its entry.
type proposal struct{ token, term uint64 }

// outcomeOf returns the outcome of a proposal after the entry at its index was applied. An
// entry of another term there means that the proposal was not committed.
func outcomeOf(p proposal, e replica.Entry, value []byte) outcome {
	if p.term != e.Term {
		return outcome{err: ErrNotCommitted}
	}
	return outcome{result: Result{Index: e.Index, Value: value}}
}

// proposals holds the commands that are appended and not yet applied. Its methods are safe
// for concurrent use.
type proposals struct {
	mu      sync.Mutex
	byIndex map[uint64]proposal
}

func (p *proposals) add(e replica.Appended) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byIndex[e.Index] = proposal{token: e.Token, term: e.Term}
}

// take removes the proposal at the index and returns it.
func (p *proposals) take(index uint64) (proposal, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, ok := p.byIndex[index]
	delete(p.byIndex, index)
	return out, ok
}

// takeUpTo removes the proposals up to the index and returns them.
func (p *proposals) takeUpTo(index uint64) []proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []proposal
	for i, proposal := range p.byIndex {
		if i <= index {
			out = append(out, proposal)
			delete(p.byIndex, i)
		}
	}
	return out
}

// pendingReads holds the barriers whose index is not yet applied. Its methods are safe for
// concurrent use.
type pendingReads struct {
	mu    sync.Mutex
	reads []confirmedRead
}

func (p *pendingReads) add(r confirmedRead) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = append(p.reads, r)
}

// take removes the barriers up to the index and returns them.
func (p *pendingReads) take(applied uint64) []confirmedRead {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []confirmedRead
	p.reads = slices.DeleteFunc(p.reads, func(r confirmedRead) bool {
		if r.Index > applied {
			return false
		}
		out = append(out, r)
		return true
	})
	return out
}

// resolveReads resolves the barriers whose index is applied.
func (g *Group[S]) resolveReads() {
	for _, r := range g.reads.take(g.State().Index) {
		g.waiters.resolve(r.Token, outcome{confirmation: r.confirmation})
	}
}

// Recovered reports whether the state includes all that was committed when the replica heard
// of its leader, or became the leader, after its start.
func (g *Group[S]) Recovered() bool { return g.applier.recovered.Load() }
