package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

func outcomeOf(out response, c *call) string {
	switch {
	case out.status < http.StatusBadRequest:
		return "done"
	case c != nil && c.mayRun:
		return "unknown"
	default:
		return "not_run"
	}
}

// logAnswer writes the final decision on a request.
func (s *Server) logAnswer(r *request, c *call, out response, took time.Duration) {
	v := s.cfg.View.View()
	fields := []any{
		"request_id", r.header.Get(s.cfg.Dialect.RequestID), "status", out.status, "outcome", outcomeOf(out, c),
		"took_ms", millis(took), "view_version", v.Version, "view_age_ms", s.cfg.View.Age().Milliseconds(),
	}
	if c == nil {
		s.log.Info("request refused", append(fields, "host", r.host, "path", r.path, "reason", strings.TrimSpace(string(out.body)))...)
		return
	}
	fields = append(fields, "route", c.route.Name, "service", c.service.Name, "config_version", v.Document.Version,
		"caller_left", r.ctx.Err() != nil)
	if c.service.Keyed {
		fields = append(fields, "key", c.key)
	}
	if out.status < http.StatusBadRequest {
		s.cfg.Routine.Info("request answered", append(fields, c.attemptFields()...)...)
		return
	}
	if after := out.header.Get("Retry-After"); after != "" {
		fields = append(fields, "retry_after_s", after)
	}
	fields = append(fields, "may_have_run", c.mayRun, "patience_ms", millis(c.patience()), "reason", c.last)
	s.log.Info("request failed", append(fields, c.attemptFields()...)...)
}

// logAttempt writes why a target was chosen and why the attempt failed. What
// went well stands in the line of the answer.
func (s *Server) logAttempt(c *call, t deployment.Target, e ending, because string) {
	c.target, c.ending = t, e
	if because != "" {
		s.log.Info("attempt failed", append(c.attemptFields(), "request_id", c.id, "reason", because)...)
	}
}

// attemptFields describes the last attempt with what decided it.
func (c *call) attemptFields() []any {
	fields := []any{
		"target", c.target.ID, "address", c.target.Address, "target_status", c.target.Status, "attempts", c.sent,
		"expected_ms", millis(c.expected), "target_ms", millis(c.ending.took), "left_ms", time.Until(c.deadline).Milliseconds(),
	}
	if c.ending.loadKnown {
		fields = append(fields, "target_running", c.ending.load.Running, "target_waiting", c.ending.load.Waiting)
	}
	if c.fence != 0 {
		fields = append(fields, "fence", c.fence)
	}
	return fields
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
