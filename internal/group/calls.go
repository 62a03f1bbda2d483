package group

import (
	"context"
	"fmt"
	"sync"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// Result is the outcome of a committed command.
type Result struct {
	Index uint64
	Value []byte
}

// answer is what a waiter receives.
type answer struct {
	result Result
	status replica.Status
	err    error
}

// waiters are the callers that wait for an effect, by token.
type waiters struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]chan answer
}

func newWaiters() *waiters { return &waiters{open: make(map[uint64]chan answer)} }

func (w *waiters) add() (uint64, <-chan answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	ch := make(chan answer, 1)
	w.open[w.next] = ch
	return w.next, ch
}

func (w *waiters) finish(token uint64, a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch, ok := w.open[token]; ok {
		ch <- a
		delete(w.open, token)
	}
}

func (w *waiters) failAll(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for token, ch := range w.open {
		ch <- answer{err: err}
		delete(w.open, token)
	}
}

// ask sends the event that make returns for a new token and waits for its
// answer.
func (g *Group[S]) ask(ctx context.Context, event func(token uint64) replica.Event) (answer, error) {
	token, ch := g.waiters.add()
	if err := g.loop.Send(event(token)); err != nil {
		g.waiters.finish(token, answer{})
		return answer{}, fmt.Errorf("group %s: %w", g.cfg.Name, err)
	}
	select {
	case a := <-ch:
		return a, a.err
	case <-g.loop.Done():
		return answer{}, fmt.Errorf("group %s stopped: %w", g.cfg.Name, ErrUnknown)
	case <-ctx.Done():
		g.waiters.finish(token, answer{})
		return answer{}, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// Propose appends a command and waits until it is applied. The error is
// replica.ErrNotLeader or ErrLost where the command has no effect, ErrUnknown
// where it may have one.
func (g *Group[S]) Propose(ctx context.Context, command []byte) (Result, error) {
	a, err := g.ask(ctx, func(token uint64) replica.Event {
		return replica.Proposed{Token: token, Data: command}
	})
	return a.result, err
}

// ProposeMembers appends a membership and waits until it is committed.
func (g *Group[S]) ProposeMembers(ctx context.Context, m replica.Members) error {
	_, err := g.ask(ctx, func(token uint64) replica.Event {
		return replica.MembersProposed{Token: token, Members: m}
	})
	return err
}

// Barrier returns a state that holds everything acknowledged before the call.
// It works at the leader only.
func (g *Group[S]) Barrier(ctx context.Context) (Applied[S], error) {
	_, err := g.ask(ctx, func(token uint64) replica.Event {
		return replica.ReadRequested{Token: token}
	})
	if err != nil {
		return Applied[S]{}, err
	}
	return g.State(), nil
}

// Status returns what the replica knows of its group.
func (g *Group[S]) Status(ctx context.Context) (replica.Status, error) {
	a, err := g.ask(ctx, func(token uint64) replica.Event {
		return replica.StatusRequested{Token: token}
	})
	return a.status, err
}

// watch wakes those who wait for the next change.
type watch struct {
	mu sync.Mutex
	ch chan struct{}
}

func newWatch() *watch { return &watch{ch: make(chan struct{})} }

func (w *watch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ch
}

func (w *watch) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ch)
	w.ch = make(chan struct{})
}
