package entry

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// Wanted describes a request that wants a target.
type Wanted struct {
	Service     string
	Point       keyspace.Point
	Fingerprint string
	Deadline    time.Time     // until which the request may wait for a target
	Grace       time.Duration // after the deadline in which an answer still counts
	Retry       bool
	Shed        bool   // the earlier attempt is proved not to have run
	Avoid       string // target that just failed the request
}

// Ticket is the right to send one request to one target. Its holder must call
// End once the request has left the target.
type Ticket struct {
	entry *Entry
	id    router.RequestID
	Route router.Route
	// Context ends with the request's deadline and when its target is gone.
	Context context.Context
	cancel  context.CancelFunc
}

// Acquire waits until the request may go to a target or is refused; one of the
// two results is nil. It returns a deadline refusal where ctx ends first.
func (e *Entry) Acquire(ctx context.Context, want Wanted) (*Ticket, *Refusal) {
	id := router.RequestID(e.next.Add(1))
	attemptCtx, cancel := context.WithDeadline(ctx, want.Deadline.Add(want.Grace))
	p := &pending{decision: make(chan decision, 1), cancel: cancel}
	e.mu.Lock()
	e.open[id] = p
	e.mu.Unlock()
	now := e.cfg.Clock.Now()
	event := router.Arrived{
		ID:           id,
		Service:      want.Service,
		Point:        want.Point,
		Fingerprint:  want.Fingerprint,
		Deadline:     now.Add(time.Until(want.Deadline)),
		Now:          now,
		Retry:        want.Retry,
		NotRun:       want.Shed,
		FailedTarget: want.Avoid,
	}
	if err := e.loop.Send(event); err != nil {
		e.drop(id, cancel)
		return nil, &Refusal{Reason: router.ReasonStopping, After: time.Second}
	}
	return e.await(ctx, attemptCtx, id, p)
}

func (e *Entry) await(ctx, attemptCtx context.Context, id router.RequestID, p *pending) (*Ticket, *Refusal) {
	var d decision
	select {
	case d = <-p.decision:
	case <-ctx.Done():
		_ = e.loop.Send(router.Withdrawn{ID: id, Now: e.cfg.Clock.Now()})
		d = decision{refusal: &Refusal{Reason: router.ReasonDeadline, After: time.Second}}
	case <-e.loop.Done():
		d = decision{refusal: &Refusal{Reason: router.ReasonStopping, After: time.Second}}
	}
	if d.refusal != nil {
		e.drop(id, p.cancel)
		return nil, d.refusal
	}
	return &Ticket{entry: e, id: id, Route: d.route, Context: attemptCtx, cancel: p.cancel}, nil
}

func (e *Entry) drop(id router.RequestID, cancel context.CancelFunc) {
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, id)
}

// End gives the ticket back.
func (t *Ticket) End(result router.Result) {
	_ = t.entry.loop.Send(router.Ended{ID: t.id, Now: t.entry.cfg.Clock.Now(), Result: result})
	t.entry.drop(t.id, t.cancel)
}
