package entry

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// PermitRequest describes a request that needs a target.
type PermitRequest struct {
	Service       string
	Path          string // by which the service was matched
	ConfigVersion uint64 // of the configuration that matched the path
	Point         keyspace.Point
	Fingerprint   string
	Deadline      time.Time     // latest end of the wait for a target
	Grace         time.Duration // time after Deadline in which an answer is still accepted
	Retry         bool          // an earlier attempt failed
	NotRun        bool          // the earlier attempt provably did not run
	FailedTarget  string        // name of the target of the attempt that just failed
}

// Permit allows one attempt. Its user must call End when the attempt has ended.
type Permit struct {
	entry       *Entry
	id          router.AttemptID
	Destination router.Destination
	// Context ends with the context given to Acquire, when the request's Deadline and
	// Grace have passed, or when the target is lost, removed or restarted.
	Context context.Context
	cancel  context.CancelFunc
}

// Acquire waits until the request is admitted or rejected; exactly one of the two
// results is nil. If ctx ends first, it returns a rejection with ReasonDeadline.
func (e *Entry) Acquire(ctx context.Context, req PermitRequest) (*Permit, *Rejection) {
	id := router.AttemptID(e.nextID.Add(1))
	attemptCtx, cancel := context.WithDeadline(ctx, req.Deadline.Add(req.Grace))
	p := &pendingRequest{decision: make(chan decision, 1), cancel: cancel}
	e.mu.Lock()
	e.pending[id] = p
	e.mu.Unlock()
	now := e.cfg.Clock.Now()
	event := router.Arrived{
		ID:            id,
		Service:       req.Service,
		Path:          req.Path,
		ConfigVersion: req.ConfigVersion,
		Point:         req.Point,
		Fingerprint:   req.Fingerprint,
		Deadline:      now.Add(time.Until(req.Deadline)),
		Now:           now,
		Retry:         req.Retry,
		NotRun:        req.NotRun,
		FailedTarget:  req.FailedTarget,
	}
	if err := e.loop.Send(event); err != nil {
		e.drop(id, cancel)
		return nil, &Rejection{Reason: router.ReasonStopping, RetryAfter: time.Second}
	}
	return e.awaitDecision(ctx, attemptCtx, id, p)
}

func (e *Entry) awaitDecision(ctx, attemptCtx context.Context, id router.AttemptID, p *pendingRequest) (*Permit, *Rejection) {
	var d decision
	select {
	case d = <-p.decision:
	case <-ctx.Done():
		_ = e.loop.Send(router.Abandoned{ID: id, Now: e.cfg.Clock.Now()})
		d = decision{rejection: &Rejection{Reason: router.ReasonDeadline, RetryAfter: time.Second}}
	case <-e.loop.Done():
		d = decision{rejection: &Rejection{Reason: router.ReasonStopping, RetryAfter: time.Second}}
	}
	if d.rejection != nil {
		e.drop(id, p.cancel)
		return nil, d.rejection
	}
	return &Permit{entry: e, id: id, Destination: d.destination, Context: attemptCtx, cancel: p.cancel}, nil
}

// drop cancels a request's context and removes the request from the pending ones.
func (e *Entry) drop(id router.AttemptID, cancel context.CancelFunc) {
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, id)
}

// End reports the attempt's result to the router and cancels the permit's context.
func (p *Permit) End(result router.AttemptResult) {
	_ = p.entry.loop.Send(router.Ended{ID: p.id, Now: p.entry.cfg.Clock.Now(), Result: result})
	p.entry.drop(p.id, p.cancel)
}
