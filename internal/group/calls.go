package group

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// Result is the outcome of a committed command.
type Result struct {
	Index uint64
	Value []byte
}

// outcome is the value that a waiter receives.
type outcome struct {
	result       Result
	status       replica.Status
	confirmation Confirmation
	err          error
}

// Confirmation tells when the steps of confirming the leadership were taken, on the boot
// clock.
type Confirmation struct {
	Sent     time.Duration // the heartbeats were sent; 0 if this replica is the only voter
	Answered time.Duration // a quorum's answers were read
}

// waiters holds the calls that wait for an effect, by token.
type waiters struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan outcome
}

func newWaiters() *waiters { return &waiters{pending: make(map[uint64]chan outcome)} }

// add returns a new token and the channel that receives its outcome.
func (w *waiters) add() (uint64, <-chan outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	ch := make(chan outcome, 1)
	w.pending[w.next] = ch
	return w.next, ch
}

func (w *waiters) resolve(token uint64, o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch, ok := w.pending[token]; ok {
		ch <- o
		delete(w.pending, token)
	}
}

func (w *waiters) failAll(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for token, ch := range w.pending {
		ch <- outcome{err: err}
		delete(w.pending, token)
	}
}

// request sends the event with a new token to the replica and waits for the
// outcome.
func (g *Group[S]) request(ctx context.Context, event func(token uint64) replica.Event) (outcome, error) {
	token, ch := g.waiters.add()
	if err := g.loop.Send(event(token)); err != nil {
		g.waiters.resolve(token, outcome{})
		return outcome{}, fmt.Errorf("group %s: %w", g.cfg.Name, err)
	}
	select {
	case o := <-ch:
		return o, o.err
	case <-g.loop.Done():
		return outcome{}, fmt.Errorf("group %s stopped: %w", g.cfg.Name, ErrOutcomeUnknown)
	case <-ctx.Done():
		g.waiters.resolve(token, outcome{})
		return outcome{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// Propose appends a command and waits until it is applied. After
// replica.ErrNotLeader or ErrNotCommitted the command has no effect; after
// ErrOutcomeUnknown it may have one.
func (g *Group[S]) Propose(ctx context.Context, command []byte) (Result, error) {
	o, err := g.request(ctx, func(token uint64) replica.Event {
		return replica.Proposed{Token: token, Data: command}
	})
	return o.result, err
}

// ProposeMembers appends a membership and waits until it is committed.
func (g *Group[S]) ProposeMembers(ctx context.Context, m replica.Members) error {
	_, err := g.request(ctx, func(token uint64) replica.Event {
		return replica.MembersProposed{Token: token, Members: m}
	})
	return err
}

// Barrier returns a state that contains every command acknowledged before the
// call. Only a leader can return it.
func (g *Group[S]) Barrier(ctx context.Context) (Applied[S], error) {
	_, err := g.request(ctx, func(token uint64) replica.Event {
		return replica.ReadRequested{Token: token}
	})
	if err != nil {
		return Applied[S]{}, err
	}
	return g.State(), nil
}

// Confirm is like Barrier, and tells how long the steps took instead of the state.
func (g *Group[S]) Confirm(ctx context.Context) (Confirmation, error) {
	o, err := g.request(ctx, func(token uint64) replica.Event {
		return replica.ReadRequested{Token: token}
	})
	return o.confirmation, err
}

// Status returns what the replica knows about its group.
func (g *Group[S]) Status(ctx context.Context) (replica.Status, error) {
	o, err := g.request(ctx, func(token uint64) replica.Event {
		return replica.StatusRequested{Token: token}
	})
	return o.status, err
}

// notifier signals the next change to any number of goroutines.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func newNotifier() *notifier { return &notifier{ch: make(chan struct{})} }

func (n *notifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}
