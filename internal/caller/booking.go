package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/router"
)

const (
	// reserveShare and maxReserve are the part of a booking's deadline in which it
	// waits for a target no more, so that a refusal still finds out whether an
	// earlier sending ran.
	reserveShare = 10
	maxReserve   = 100 * time.Millisecond
	// lateGrace is how long after the deadline an answer still completes its
	// booking's record.
	lateGrace = 5 * time.Second
	// finishTimeout bounds the tries to record a booking's end.
	finishTimeout = 30 * time.Second
	peekTimeout   = time.Second
	// maxBookingAnswer is the largest answer to a booking that is passed on.
	maxBookingAnswer = 8 << 20 // bytes
)

// ending is what a booking's caller is told.
type ending struct {
	answer  *answer
	failure failure
}

// run is one attempt at a booking. It goes on when its caller leaves, and for
// a grace time after the deadline, so that a late answer is recorded.
type run struct {
	handler *Handler
	call    *call
	key     string
	attempt string
}

// book serves a booking. The caller has an ending by the deadline; the run may
// take longer.
func (h *Handler) book(ctx context.Context, w http.ResponseWriter, c *call) {
	c.want.Grace = lateGrace
	c.want.Deadline = c.deadline.Add(-min(c.service.Deadline/reserveShare, maxReserve))
	x := &run{handler: h, call: c, key: c.bookingKey(), attempt: uuid.NewString()}
	ended := make(chan ending, 1)
	go func() { ended <- x.do() }()
	var e ending
	select {
	case e = <-ended:
	case <-ctx.Done():
		e = ending{failure: unknown(http.StatusGatewayTimeout, "deadline", spreadReturn())}
	}
	if e.answer != nil {
		h.write(w, c, e.answer)
		return
	}
	h.fail(w, c, e.failure)
}

func (c *call) bookingKey() string { return c.service.Name + "/" + c.request.IdempotencyKey }

// do takes a slot, records the start, sends and records the end.
func (x *run) do() ending {
	h, c := x.handler, x.call
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	ticket, refusal := h.cfg.Entry.Acquire(context.WithoutCancel(ctx), c.want)
	if refusal != nil {
		return h.peek(c, *refusal)
	}
	result, err := h.cfg.Entry.StartBooking(ctx, x.startCommand())
	if err != nil {
		ticket.End(router.ResultAbandoned)
		go x.finish(booking.NotRun, booking.Answer{})
		return ending{failure: unknown(http.StatusServiceUnavailable, "booking_log_unavailable", spreadReturn())}
	}
	if result.Verdict != booking.Proceed {
		ticket.End(router.ResultAbandoned)
		return endingOf(result)
	}
	return x.sendUntilRun(ctx, ticket)
}

func (x *run) startCommand() booking.Start {
	patience := time.Until(x.call.deadline) + 2*lateGrace
	return booking.Start{
		Key:           x.key,
		Attempt:       x.attempt,
		Fingerprint:   x.call.want.Fingerprint,
		TimeoutMillis: patience.Milliseconds(),
	}
}

// sendUntilRun sends the booking, again only where the last try is proved not
// to have run.
func (x *run) sendUntilRun(ctx context.Context, ticket *entry.Permit) ending {
	h, c := x.handler, x.call
	for {
		a, err := x.sendOnce(ticket)
		switch {
		case err == nil:
			return x.done(ctx, a)
		case !notRun(err):
			go x.finish(booking.Unknown, booking.Answer{})
			return ending{failure: unknown(http.StatusGatewayTimeout, "answer_lost", spreadReturn())}
		}
		refusal := &entry.Rejection{Reason: reasonNoAnswer, RetryAfter: spreadReturn()}
		if c.again(ctx, err, ticket.Route.Target.Name) {
			ticket, refusal = h.cfg.Entry.Acquire(context.WithoutCancel(ctx), c.want)
		}
		if refusal != nil {
			go x.finish(booking.NotRun, booking.Answer{})
			return ending{failure: refused(*refusal)}
		}
	}
}

func (x *run) sendOnce(t *entry.Permit) (*answer, error) {
	resp, err := x.handler.send(x.call, t)
	if err != nil {
		return nil, err
	}
	return x.handler.receive(x.call, t, resp, maxBookingAnswer)
}

// done records the answer before the caller gets it, as far as the deadline
// allows.
func (x *run) done(ctx context.Context, a *answer) ending {
	stored := x.stored(a)
	recorded := make(chan struct{})
	go func() {
		x.finish(booking.Done, stored)
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	return ending{answer: a}
}

func (x *run) stored(a *answer) booking.Answer {
	out := booking.Answer{Status: a.status}
	for name, values := range a.header {
		for _, v := range values {
			out.Header = append(out.Header, booking.Header{Name: name, Value: v})
		}
	}
	if len(a.body) > x.handler.cfg.Entry.View().Config.Bookings.MaxAnswer {
		out.Dropped = true
		return out
	}
	out.Body = a.body
	return out
}

// finish records the attempt's end, trying for a long time.
func (x *run) finish(phase booking.Phase, a booking.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	err := x.handler.cfg.Entry.FinishBooking(ctx, booking.Finish{Key: x.key, Attempt: x.attempt, Phase: phase, Answer: a})
	if err != nil {
		x.handler.cfg.Log.Error("end of booking not recorded", "request_id", x.call.id, "phase", phase, "error", err)
	}
}

// refuseBooking answers a booking that this entry has no room for.
func (h *Handler) refuseBooking(_ context.Context, w http.ResponseWriter, c *call, r entry.Rejection) {
	e := h.peek(c, r)
	if e.answer != nil {
		h.write(w, c, e.answer)
		return
	}
	h.fail(w, c, e.failure)
}

// peek looks up what became of earlier sendings of the booking. Only where none
// ran may the refusal say so.
func (h *Handler) peek(c *call, r entry.Rejection) ending {
	ctx, cancel := context.WithTimeout(context.Background(), peekTimeout)
	defer cancel()
	record, err := h.cfg.Entry.PeekBooking(ctx, c.bookingKey())
	switch {
	case err != nil:
		return ending{failure: unknown(http.StatusServiceUnavailable, string(r.Reason), r.RetryAfter)}
	case record.Phase == "" || record.Phase == booking.NotRun:
		return ending{failure: refused(r)}
	case record.Fingerprint != c.want.Fingerprint:
		return endingOf(booking.Result{Verdict: booking.Mismatch, Record: record})
	case record.Phase == booking.Done:
		return endingOf(booking.Result{Verdict: booking.Replay, Record: record})
	case record.Phase == booking.Started:
		return endingOf(booking.Result{Verdict: booking.InProgress, Record: record})
	default:
		return endingOf(booking.Result{Verdict: booking.OutcomeUnknown, Record: record})
	}
}

// endingOf answers a booking that was sent before.
func endingOf(r booking.Result) ending {
	switch r.Verdict {
	case booking.Replay:
		return replay(r.Record.Answer)
	case booking.InProgress:
		return ending{failure: unknown(http.StatusConflict, "in_progress", spreadReturn())}
	case booking.Mismatch:
		f := invalid(http.StatusUnprocessableEntity, HeaderIdempotencyKey, "", "was used for a different request")
		return ending{failure: f}
	default:
		return ending{failure: unknown(http.StatusConflict, "outcome_unknown", 0)}
	}
}

func replay(a booking.Answer) ending {
	if a.Dropped {
		f := failure{status: http.StatusConflict, outcome: Done, reason: "answer_not_stored"}
		return ending{failure: f}
	}
	out := &answer{status: a.Status, header: make(http.Header), body: a.Body, target: "booking_log"}
	for _, x := range a.Header {
		out.header.Add(x.Name, x.Value)
	}
	out.header.Set("Idempotency-Replayed", "true")
	return ending{answer: out}
}
