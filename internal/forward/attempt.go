package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
)

// connectTimeout returns the timeout for connecting to a target. It grows with the
// route's objective: on a link congested by other traffic, packets may be delayed
// for part of the objective.
func connectTimeout(objective time.Duration) time.Duration {
	return min(max(objective/2, minConnectTimeout), maxConnectTimeout)
}

// maxConns returns the number of connections that this entry may open to a target.
func (s *Server) maxConns(service deployment.Service) int {
	return max(minConns, int(connectionShare*float64(service.Connections)/float64(s.entryCount())))
}

// attempt sends the request to one target. It returns the final response, or nil
// and whether another attempt may help.
func (s *Server) attempt(ctx context.Context, c *call, t deployment.Target) (*response, bool) {
	if !c.service.Keyed {
		c.excluded = append(c.excluded, t.ID)
	}
	maxConns := s.maxConns(c.service)
	start := time.Now()
	c.admittedBy, c.bodyTime = "", 0
	pace := &bodyPace{ctx: ctx, link: s.cfg.Link}
	defer pace.end()
	c.sentAt = s.targets.requestSent(t)
	a, err := s.cfg.Pool.Do(ctx, t.Address, maxConns, s.cfg.Headers.RequestID, targethttp.Request{
		Method: c.method,
		Head: func() []byte {
			c.sentConfig, c.sentAfter = s.cfg.View.View().Config.Version, time.Since(c.start)
			c.sentViewAge, c.sentAdviceAge = s.cfg.View.CurrentAge(), s.AdviceAge()
			s.countBody(c, pace)
			return s.requestHead(c, t, time.Now())
		},
		Body:           c.body,
		ID:             c.id,
		NonIdempotent:  !c.route.Kind.Idempotent(),
		ConnectTimeout: connectTimeout(c.route.Objective),

		Pace:        pace.function(),
		BodyContext: c.bodyCtx,
		// The target may have said otherwise while the connection was opened.
		Allowed: func() bool {
			return s.mayStillSend(c, t) && s.zoneAllows(c, t) && s.configAllows(c) && !s.outlastsShutdown(c, t)
		},
	})
	took := time.Since(start)
	if err != nil {
		return s.handleFailure(ctx, c, t, err, took)
	}
	s.path.RecordAnswer()
	res := attemptResult{sentAt: c.sentAt, took: took, bodyTime: c.bodyTime, answered: true, leaving: a.Header.Get(s.cfg.Headers.Leaving) != ""}
	if res.leaving && !s.targets.leaving(t) {
		s.logLeaving(t, "answer")
	}
	if a.Status == http.StatusServiceUnavailable && s.cfg.Headers.ParseRest != nil {
		if value := a.Header.Get("Retry-After"); value != "" {
			if rest, ok := s.cfg.Headers.ParseRest(value); ok {
				res.rest = rest
			} else {
				s.invalidRests.Add(1)
			}
		}
	}
	if s.cfg.Headers.ParseLoad != nil {
		res.load, res.loadKnown = s.cfg.Headers.ParseLoad(a.Header.Get(s.cfg.Headers.Load))
	}
	if s.cfg.Headers.ParseRateLimit != nil {
		res.rateLimit, res.rateLimitKnown = s.cfg.Headers.ParseRateLimit(a.Header.Get(s.cfg.Headers.RateLimit))
	}
	if a.Stream != nil && (a.Status >= http.StatusMultipleChoices || s.isNotRun(c, a) || s.invalidReason(a) != "") {
		a.Body, err = a.Stream.ReadAll(ctx)
		if err != nil {
			a.Close()
			return s.handleFailure(ctx, c, t, err, took)
		}
		a.Stream = nil
	}
	c.sent++
	if s.isNotRun(c, a) {
		a.Close()
		return nil, s.handleNotRun(c, t, res, a.Status)
	}
	c.mayHaveRun = true
	if invalid := s.invalidReason(a); invalid != "" {
		a.Close()
		res.failed, res.broken = true, true
		s.targets.requestEnded(t, res)
		s.releaseSlot(c, answeredOutcome(res), res)
		c.reason = fmt.Sprintf("target %s: %s", t.ID, invalid)
		s.logAttempt(c, t, res, c.reason)
		return nil, s.mayRetry(c)
	}
	return s.handleAnswer(c, t, res, a)
}

// zoneAllows reports whether the request may be sent to the target as far as the evacuated
// zones tell.
func (s *Server) zoneAllows(c *call, t deployment.Target) bool {
	v := s.cfg.View.View()
	if c.service.Keyed {
		return v.OwnerAllowed(t, time.Now())
	}
	return !v.Evacuated(t.AvailabilityZone)
}

// handleNotRun handles an answer by which the target reports that it did not run
// the request. It returns whether another attempt may help.
func (s *Server) handleNotRun(c *call, t deployment.Target, res attemptResult, status int) bool {
	c.reason = fmt.Sprintf("target %s did not run the request: status %d", t.ID, status)
	s.targets.requestEnded(t, res)
	s.releaseSlot(c, answeredOutcome(res), res)
	s.logAttempt(c, t, res, c.reason)
	// Sending it again is safe, so it is sent at least twice if no target ran it.
	if c.mayHaveRun || c.sent >= max(c.route.Attempts, 2) {
		return false
	}
	if status == http.StatusMisdirectedRequest {
		switch {
		case !c.service.Keyed:
		case s.cfg.GrantsByHeartbeat:
			c.ownerRetryAt = time.Now().Add(ownerRetryDelay)
		default:
			// The target won't run it under this fence. Another owner may, or the
			// same one under a later fence.
			c.excluded = append(c.excluded, c.rangeID)
		}
		return true
	}
	// A key has only one owner, and an overloaded one stays overloaded for longer
	// than a retry takes.
	return !c.service.Keyed || !res.overloaded()
}

// handleAnswer handles the answer of a target that ran the request. It returns the
// final response, or nil and true if another attempt may bring a better answer.
func (s *Server) handleAnswer(c *call, t deployment.Target, res attemptResult, a *targethttp.Response) (*response, bool) {
	res.ran, res.success = true, a.Status < http.StatusMultipleChoices
	switch {
	case a.Stream != nil:
		go s.watchStream(t, c.fingerprint, a.Stream)
	case res.success:
		s.noteAnswered(c.fingerprint)
	}
	s.targets.requestEnded(t, res)
	s.releaseSlot(c, answeredOutcome(res), res)
	out := s.passOn(c, a)
	if out.status < http.StatusInternalServerError {
		s.logAttempt(c, t, res, "")
		return out, false
	}
	c.reason = fmt.Sprintf("target %s answered with status %d", t.ID, a.Status)
	s.logAttempt(c, t, res, c.reason)
	if c.errorAnswer == nil && s.mayRetry(c) && a.Status != http.StatusGatewayTimeout {
		// A retry may succeed, also at the same target. If none does, this answer
		// is returned.
		c.errorAnswer = out
		return nil, true
	}
	return out, false
}

// passOn returns the response that passes an answer on to the caller. The status of a rejection
// promises the caller that its request has not run. The target did not say so, or the caller would
// not get this answer, so that such a status is replaced by one that promises nothing.
func (s *Server) passOn(c *call, a *targethttp.Response) *response {
	if isRejection(a.Status) {
		a.Close()
		out := errorResponse(http.StatusBadGateway, fmt.Sprintf("the target answered with status %d and may have run the request", a.Status))
		return &out
	}
	return answerResponse(c, a)
}

// answerResponse returns the response that consists of an answer.
func answerResponse(c *call, a *targethttp.Response) *response {
	out := &response{status: a.Status, header: forwardedHeaders(a.Header), body: a.Body, stream: a.Stream, answer: a}
	if length := a.Header.Get("Content-Length"); c.method == http.MethodHead && length != "" {
		out.header["Content-Length"] = []string{length}
	}
	return out
}

// watchStream records how an answer ends that is passed on while it arrives, whether its caller
// reads it to the end or not.
func (s *Server) watchStream(t deployment.Target, fingerprint string, stream *targethttp.BodyStream) {
	switch err := stream.Wait(s.ctx); {
	case err == nil:
		s.noteAnswered(fingerprint)
	case errors.Is(err, targethttp.ErrIncompleteResponse) && !errors.Is(err, targethttp.ErrTimeout):
		s.targets.recordBrokenAnswer(t)
		s.crashes.recordIfCrashed(s.ctx, t, fingerprint, s.path.ReachesOthers)
	}
}

// noteAnswered records that a target gave a whole answer to a request of the kind.
func (s *Server) noteAnswered(fingerprint string) {
	if suspected, _ := s.cfg.View.View().Suspected(fingerprint); suspected {
		s.crashes.recordAnswered(fingerprint)
	}
}

// mayRetry reports whether a request that may have run can be sent again.
func (s *Server) mayRetry(c *call) bool {
	return c.route.Kind.Idempotent() && c.sent < c.route.Attempts
}

// handleFailure handles an attempt that brought no complete answer. It returns no
// response, and whether another attempt may help.
func (s *Server) handleFailure(ctx context.Context, c *call, t deployment.Target, err error, took time.Duration) (*response, bool) {
	disconnected := c.ctx.Err() != nil
	noRoom := errors.Is(err, targethttp.ErrBodiesHeld)
	res := attemptResult{
		failed: !disconnected && !noRoom && !errors.Is(err, targethttp.ErrConnLimit) && !errors.Is(err, targethttp.ErrNotAllowed),
		broken: !noRoom && errors.Is(err, targethttp.ErrIncompleteResponse) && !errors.Is(err, targethttp.ErrTimeout),
		took:   took,
		sentAt: c.sentAt,

		// On a narrow link a connection that does not open in time mostly shows that the
		// link is full.
		linkFull:     s.cfg.Link != nil && isTimeout(err) && errors.Is(err, targethttp.ErrNoConnection) && s.path.AnsweredLately(),
		noConnection: !disconnected && errors.Is(err, targethttp.ErrNoConnection) && (s.cfg.Link == nil || !isTimeout(err)),
	}
	s.targets.requestEnded(t, res)
	s.releaseSlot(c, s.failedOutcome(err, disconnected), res)
	if res.failed && (errors.Is(err, targethttp.ErrNoConnection) || errors.Is(err, targethttp.ErrTimeout)) {
		s.path.RecordFailure(t.ID)
	}
	c.reason = fmt.Sprintf("target %s: %v", t.ID, err)
	if disconnected {
		c.reason = s.cancelReason() + "; " + c.reason
	}
	s.logAttempt(c, t, res, c.reason)
	if errors.Is(err, targethttp.ErrNotSent) {
		if errors.Is(err, targethttp.ErrNotAllowed) && (!s.configAllows(c) || s.outlastsShutdown(c, t)) {
			return nil, !disconnected // it is routed anew, or rejected
		}
		if errors.Is(err, targethttp.ErrNotAllowed) && !s.mayReach(c, t) {
			c.notCharged = true
			return nil, !disconnected // another target is chosen, or it is rejected
		}
		if c.service.Keyed && errors.Is(err, targethttp.ErrNotAllowed) && !s.zoneAllows(c, t) {
			return nil, !disconnected // it waits for the next owner
		}
		if c.service.Keyed {
			c.failedConnects++
			if c.ownerUnreached = res.noConnection && s.targets.onlyOthersReach(t); c.ownerUnreached {
				s.uncount(c)
			}
			return nil, !disconnected && errors.Is(err, targethttp.ErrNoConnection) && c.failedConnects < maxConnectAttempts
		}
		// Trying another target is safe, so at least 3 targets are tried.
		return nil, !disconnected && len(c.excluded) < max(c.route.Attempts, 3)
	}
	c.sent++
	c.mayHaveRun = true
	if !noRoom && !errors.Is(err, targethttp.ErrTimeout) {
		go s.crashes.recordIfCrashed(s.ctx, t, c.fingerprint, s.path.ReachesOthers)
	}
	return nil, !disconnected && !noRoom && ctx.Err() == nil && s.mayRetry(c)
}

// cancelReason returns why the context of a caller's request has ended.
func (s *Server) cancelReason() string {
	if s.ctx.Err() != nil {
		return "the instance ended"
	}
	return "caller disconnected"
}

// isNotRun reports whether an answer says that the target did not run the request. One that is
// signed or a success contradicts itself, since targets sign what they have run: it proves nothing
// for a request that must not run twice.
func (s *Server) isNotRun(c *call, a *targethttp.Response) bool {
	stated := a.Header.Get(s.cfg.Headers.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
	return stated && (c.route.Kind.Idempotent() || a.Status >= http.StatusBadRequest && a.Header.Get(s.cfg.Headers.Signature) == "")
}

// invalidReason returns why an answer can't be the target's complete answer, or an
// empty string for a valid one.
func (s *Server) invalidReason(a *targethttp.Response) string {
	switch {
	case a.Header.Get(s.cfg.Headers.NotRun) != "":
		return "answer says both that the request has run and that it has not"
	case a.Header.Get("Content-Encoding") != "":
		return "answer has an unexpected Content-Encoding"
	case a.Status < http.StatusMultipleChoices && a.Header.Get(s.cfg.Headers.Signature) == "":
		return "answer is not signed"
	}
	return ""
}
