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
	// A booking stops waiting for a target some time before its deadline: 1/reserveDivisor
	// of the service's deadline, but at most maxReserve. If the booking is rejected, that
	// time is left for finding out whether an earlier attempt may have run.
	reserveDivisor = 10
	maxReserve     = 100 * time.Millisecond
	// lateAnswerGrace is the time after the latest end of the wait for a target in
	// which an answer is still accepted and recorded.
	lateAnswerGrace = 5 * time.Second
	// finishTimeout is the time for recording the end of a booking, retries included.
	finishTimeout = 30 * time.Second
	peekTimeout   = time.Second // for reading the record of a rejected booking
	// maxBookingAnswerBytes is the size of the largest answer that is passed to
	// the caller.
	maxBookingAnswerBytes = 8 << 20
)

// response is the response to a booking: errorResponse if answer is nil.
type response struct {
	answer        *answer
	errorResponse errorResponse
}

// bookingRun executes one booking. It continues after its caller has disconnected
// and after the caller's deadline, for up to lateAnswerGrace, so that a late answer is
// recorded.
type bookingRun struct {
	handler *Handler
	call    *call
	key     string
	attempt string // ID of the run in the booking log, which calls it an attempt
}

// book serves a booking. The caller gets a response by the deadline, but the
// bookingRun may continue after it.
func (h *Handler) book(ctx context.Context, w http.ResponseWriter, c *call) {
	c.permitReq.Grace = lateAnswerGrace
	c.permitReq.Deadline = c.deadline.Add(-min(c.service.Deadline/reserveDivisor, maxReserve))
	r := &bookingRun{handler: h, call: c, key: c.bookingKey(), attempt: uuid.NewString()}
	result := make(chan response, 1)
	go func() { result <- r.do() }()
	var resp response
	select {
	case resp = <-result:
	case <-ctx.Done():
		resp = response{errorResponse: unknownOutcome(http.StatusGatewayTimeout, "deadline", randomRetryAfter())}
	}
	if resp.answer != nil {
		h.writeAnswer(w, c, resp.answer)
		return
	}
	h.writeError(w, c, resp.errorResponse)
}

func (c *call) bookingKey() string { return c.service.Name + "/" + c.request.IdempotencyKey }

// do acquires a permit, records the start of the booking, sends the booking and
// records its end.
func (r *bookingRun) do() response {
	h, c := r.handler, r.call
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	permit, rejection := h.cfg.Entry.Acquire(context.WithoutCancel(ctx), c.permitReq)
	if rejection != nil {
		return h.rejectionResponse(c, *rejection)
	}
	result, err := h.cfg.Entry.StartBooking(ctx, r.startCommand())
	if err != nil {
		permit.End(router.ResultAbandoned)
		go r.finish(booking.NotRun, booking.Answer{})
		return response{errorResponse: unknownOutcome(http.StatusServiceUnavailable, "booking_log_unavailable", randomRetryAfter())}
	}
	if result.Verdict != booking.Proceed {
		permit.End(router.ResultAbandoned)
		return recordedResponse(result)
	}
	return r.sendWithRetries(ctx, permit)
}

func (r *bookingRun) startCommand() booking.Start {
	timeout := time.Until(r.call.deadline) + 2*lateAnswerGrace
	return booking.Start{
		Key:           r.key,
		Attempt:       r.attempt,
		Fingerprint:   r.call.permitReq.Fingerprint,
		TimeoutMillis: timeout.Milliseconds(),
	}
}

// sendWithRetries sends the booking, and sends it again only if the last attempt
// provably did not run.
func (r *bookingRun) sendWithRetries(ctx context.Context, permit *entry.Permit) response {
	h, c := r.handler, r.call
	for {
		a, err := r.sendOnce(permit)
		switch {
		case err == nil:
			return r.recordAnswer(ctx, a)
		case !notRun(err):
			go r.finish(booking.Unknown, booking.Answer{})
			return response{errorResponse: unknownOutcome(http.StatusGatewayTimeout, "answer_lost", randomRetryAfter())}
		}
		rejection := &entry.Rejection{Reason: reasonNoAnswer, RetryAfter: randomRetryAfter()}
		if c.prepareRetry(ctx, err, permit.Destination.Target.Name) {
			permit, rejection = h.cfg.Entry.Acquire(context.WithoutCancel(ctx), c.permitReq)
		}
		if rejection != nil {
			go r.finish(booking.NotRun, booking.Answer{})
			return response{errorResponse: rejected(*rejection)}
		}
	}
}

func (r *bookingRun) sendOnce(p *entry.Permit) (*answer, error) {
	resp, err := r.handler.send(r.call, p)
	if err != nil {
		return nil, err
	}
	return r.handler.receive(r.call, p, resp, maxBookingAnswerBytes)
}

// recordAnswer records the answer and returns the response. It waits until the
// answer is recorded or the deadline has passed.
func (r *bookingRun) recordAnswer(ctx context.Context, a *answer) response {
	storedAnswer := r.storedAnswer(a)
	recorded := make(chan struct{})
	go func() {
		r.finish(booking.Done, storedAnswer)
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	return response{answer: a}
}

// storedAnswer returns the answer for the booking log, without its body if that is
// larger than the configuration allows.
func (r *bookingRun) storedAnswer(a *answer) booking.Answer {
	out := booking.Answer{Status: a.status}
	for name, values := range a.header {
		for _, v := range values {
			out.Header = append(out.Header, booking.Header{Name: name, Value: v})
		}
	}
	if len(a.body) > r.handler.cfg.Entry.View().Config.Bookings.MaxAnswerBytes {
		out.Dropped = true
		return out
	}
	out.Body = a.body
	return out
}

// finish records the end of the booking, and logs an error if it has not succeeded
// after finishTimeout.
func (r *bookingRun) finish(phase booking.Phase, a booking.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	err := r.handler.cfg.Entry.FinishBooking(ctx, booking.Finish{Key: r.key, Attempt: r.attempt, Phase: phase, Answer: a})
	if err != nil {
		r.handler.cfg.Log.Error("end of booking not recorded", "request_id", r.call.id, "phase", phase, "error", err)
	}
}

// rejectBooking responds to a booking that exceeds this entry's capacity.
func (h *Handler) rejectBooking(_ context.Context, w http.ResponseWriter, c *call, rejection entry.Rejection) {
	resp := h.rejectionResponse(c, rejection)
	if resp.answer != nil {
		h.writeAnswer(w, c, resp.answer)
		return
	}
	h.writeError(w, c, resp.errorResponse)
}

// rejectionResponse returns the response to a booking that was rejected. It looks
// up earlier attempts of the booking, since the outcome may be NotRun only if none
// of them can have run.
func (h *Handler) rejectionResponse(c *call, rejection entry.Rejection) response {
	ctx, cancel := context.WithTimeout(context.Background(), peekTimeout)
	defer cancel()
	record, err := h.cfg.Entry.PeekBooking(ctx, c.bookingKey())
	switch {
	case err != nil:
		return response{errorResponse: unknownOutcome(http.StatusServiceUnavailable, string(rejection.Reason), rejection.RetryAfter)}
	case record.Phase == "" || record.Phase == booking.NotRun:
		return response{errorResponse: rejected(rejection)}
	case record.Fingerprint != c.permitReq.Fingerprint:
		return recordedResponse(booking.Result{Verdict: booking.Mismatch, Record: record})
	case record.Phase == booking.Done:
		return recordedResponse(booking.Result{Verdict: booking.Replay, Record: record})
	case record.Phase == booking.Started:
		return recordedResponse(booking.Result{Verdict: booking.InProgress, Record: record})
	default:
		return recordedResponse(booking.Result{Verdict: booking.OutcomeUnknown, Record: record})
	}
}

// recordedResponse returns the response to a booking that the booking log does not
// permit to be sent.
func recordedResponse(result booking.Result) response {
	switch result.Verdict {
	case booking.Replay:
		return replay(result.Record.Answer)
	case booking.InProgress:
		return response{errorResponse: unknownOutcome(http.StatusConflict, "in_progress", randomRetryAfter())}
	case booking.Mismatch:
		e := invalidRequest(http.StatusUnprocessableEntity, HeaderIdempotencyKey, "", "was used for a different request")
		return response{errorResponse: e}
	default:
		return response{errorResponse: unknownOutcome(http.StatusConflict, "outcome_unknown", 0)}
	}
}

// replay returns the recorded answer, or an error response if its body was not
// stored.
func replay(a booking.Answer) response {
	if a.Dropped {
		e := errorResponse{status: http.StatusConflict, outcome: Done, reason: "answer_not_stored"}
		return response{errorResponse: e}
	}
	out := &answer{status: a.Status, header: make(http.Header), body: a.Body, target: "booking_log"}
	for _, h := range a.Header {
		out.header.Add(h.Name, h.Value)
	}
	out.header.Set("Idempotency-Replayed", "true")
	return response{answer: out}
}
