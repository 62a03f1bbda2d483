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

// connectTime returns for how long a connection to a target is waited for: a
// link that other traffic fills may hold its packets up for a part of what callers
// are promised.
func connectTime(objective time.Duration) time.Duration {
	return min(max(objective/2, leastConnect), mostConnect)
}

// attempt sends the request to one target. It returns the final answer, or
// whether another attempt may help.
func (s *Server) attempt(ctx context.Context, c *call, t deployment.Target) (*response, bool) {
	if !c.service.Keyed {
		c.tried = append(c.tried, t.ID)
	}
	most := max(leastConns, int(connectionShare*float64(c.service.Connections)/float64(s.entries())))
	began := time.Now()
	c.sentAt = s.targets.began(t)
	a, err := s.cfg.Pool.Do(ctx, t.Address, most, s.cfg.Dialect.RequestID, targethttp.Request{
		Method:         c.method,
		Head:           s.head(c, t, began),
		Body:           c.body,
		ID:             c.id,
		NonIdempotent:  !c.route.Kind.Idempotent(),
		ConnectTimeout: connectTime(c.route.Objective),

		BodyContext: c.bodyCtx,
	})
	took := time.Since(began)
	if err != nil {
		return s.failed(ctx, c, t, err, took)
	}
	e := ending{sentAt: c.sentAt, took: took}
	if s.cfg.Dialect.ParseLoad != nil {
		e.load, e.loadKnown = s.cfg.Dialect.ParseLoad(a.Header.Get(s.cfg.Dialect.Load))
	}
	if a.Stream != nil && (a.Status >= http.StatusMultipleChoices || s.isNotRun(a) || s.fault(a) != "") {
		if a.Body, err = a.Stream.ReadAll(ctx); err != nil {
			return s.failed(ctx, c, t, err, took)
		}
		a.Stream = nil
	}
	c.sent++
	if s.isNotRun(a) {
		return nil, s.turnedDown(c, t, e, a.Status)
	}
	c.mayRun = true
	if fault := s.fault(a); fault != "" {
		e.failed, e.broken = true, true
		s.targets.ended(t, e)
		c.last = fmt.Sprintf("target %s: %s", t.ID, fault)
		s.logAttempt(c, t, e, c.last)
		return nil, s.mayRepeat(c)
	}
	return s.answered(c, t, e, a)
}

// turnedDown takes an answer which says that the target did not run the request.
// It reports whether another attempt may help.
func (s *Server) turnedDown(c *call, t deployment.Target, e ending, status int) bool {
	c.last = fmt.Sprintf("target %s did not run it: status %d", t.ID, status)
	s.targets.ended(t, e)
	s.logAttempt(c, t, e, c.last)
	if c.mayRun || c.sent >= max(c.route.Attempts, 2) {
		return false
	}
	if status == http.StatusMisdirectedRequest {
		if c.service.Keyed {
			// Under this fence the target will not run it; others may.
			c.tried = append(c.tried, c.rangeID)
		}
		return true
	}
	// A keyed request has no other target to go to. One that is full stays so for
	// longer than another try takes.
	return !c.service.Keyed || !e.full()
}

// answered takes the answer of a target that ran the request. It returns the
// final answer, or that another attempt may bring a better one.
func (s *Server) answered(c *call, t deployment.Target, e ending, a *targethttp.Response) (*response, bool) {
	e.ran, e.good = true, a.Status < http.StatusMultipleChoices
	if suspected, _ := s.cfg.View.View().Suspected(c.kind); suspected && e.good {
		s.crashes.answered(c.kind)
	}
	s.targets.ended(t, e)
	out := &response{status: a.Status, header: passedHeaders(a.Header), body: a.Body, rest: a.Stream}
	if length := a.Header.Get("Content-Length"); c.method == http.MethodHead && length != "" {
		out.header["Content-Length"] = []string{length}
	}
	if a.Status < http.StatusInternalServerError {
		s.logAttempt(c, t, e, "")
		return out, false
	}
	c.last = fmt.Sprintf("target %s answered with status %d", t.ID, a.Status)
	s.logAttempt(c, t, e, c.last)
	if c.failure == nil && s.mayRepeat(c) && a.Status != http.StatusGatewayTimeout {
		// The same target may do better: it is this answer or a better one.
		c.failure = out
		return nil, true
	}
	return out, false
}

// mayRepeat reports whether a request that may have run can be sent again.
func (s *Server) mayRepeat(c *call) bool {
	return c.route.Kind.Idempotent() && c.sent < c.route.Attempts
}

// failed takes an exchange without a whole answer.
func (s *Server) failed(ctx context.Context, c *call, t deployment.Target, err error, took time.Duration) (*response, bool) {
	left := c.ctx.Err() != nil
	e := ending{
		failed: !left && !errors.Is(err, targethttp.ErrConnLimit),
		broken: errors.Is(err, targethttp.ErrIncompleteResponse) && !errors.Is(err, targethttp.ErrTimeout),
		took:   took,
		sentAt: c.sentAt,
	}
	s.targets.ended(t, e)
	c.last = fmt.Sprintf("target %s: %v", t.ID, err)
	if left {
		c.last = "caller left; " + c.last
	}
	s.logAttempt(c, t, e, c.last)
	if errors.Is(err, targethttp.ErrNotSent) {
		if c.service.Keyed {
			c.misses++
			return nil, !left && errors.Is(err, targethttp.ErrNoConnection) && c.misses < connectTries
		}
		return nil, !left && len(c.tried) < max(c.route.Attempts, 3)
	}
	c.sent++
	c.mayRun = true
	if !left && !errors.Is(err, targethttp.ErrTimeout) {
		go s.crashes.broke(s.ctx, t, c.kind)
	}
	return nil, !left && ctx.Err() == nil && s.mayRepeat(c)
}

// isNotRun reports whether the target says that it did not run the request.
func (s *Server) isNotRun(a *targethttp.Response) bool {
	return a.Header.Get(s.cfg.Dialect.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
}

// fault tells why an answer can't be the target's whole answer.
func (s *Server) fault(a *targethttp.Response) string {
	switch {
	case a.Header.Get("Content-Encoding") != "":
		return "answer is encoded although nobody asked for it"
	case a.Status < http.StatusMultipleChoices && a.Header.Get(s.cfg.Dialect.Signature) == "":
		return "answer is not signed"
	}
	return ""
}
