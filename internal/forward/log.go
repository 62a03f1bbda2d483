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
	case c != nil && c.mayHaveRun:
		return "unknown"
	default:
		return "not_run"
	}
}

// logResponse logs the final response to a request.
func (s *Server) logResponse(r *request, c *call, out response, elapsed time.Duration) {
	v := s.cfg.View.View()
	fields := []any{
		"request_id", r.header.Get(s.cfg.Headers.RequestID), "status", out.status, "outcome", outcomeOf(out, c),
		"took_ms", millis(elapsed), "view_version", v.Version, "view_age_ms", s.cfg.View.Age().Milliseconds(),
	}
	if c == nil {
		s.log.Info("request rejected", append(fields, "host", r.host, "path", r.path, "reason", strings.TrimSpace(string(out.body)))...)
		return
	}
	fields = append(fields, "route", c.route.Name, "service", c.service.Name, "config_version", v.Config.Version,
		"caller_left", r.ctx.Err() != nil && s.ctx.Err() == nil)
	if c.service.Keyed {
		fields = append(fields, "key", c.key)
	}
	if out.status < http.StatusBadRequest {
		s.cfg.RoutineLog.Info("request answered", append(fields, c.attemptFields()...)...)
		return
	}
	if retryAfter := out.header.Get("Retry-After"); retryAfter != "" {
		fields = append(fields, "retry_after_s", retryAfter)
	}
	fields = append(fields, "may_have_run", c.mayHaveRun, "patience_ms", millis(s.maxExpected(c)), "reason", c.reason)
	if age, ok := s.targets.queueAge(c.target); ok {
		fields = append(fields, "queue_age_ms", age.Milliseconds())
	}
	s.log.Info("request failed", append(fields, c.attemptFields()...)...)
}

// logAttempt records the attempt for the log line of the final response, and logs it
// at once if it failed.
func (s *Server) logAttempt(c *call, t deployment.Target, res attemptResult, reason string) {
	c.target, c.result = t, res
	if reason != "" {
		s.log.Info("attempt failed", append(c.attemptFields(), "request_id", c.id, "reason", reason)...)
	}
}

// logLeaving logs that this entry has learned otherwise than from its view that a target is
// leaving.
func (s *Server) logLeaving(t deployment.Target, source string) {
	s.log.Info("target is leaving", "target", t.ID, "born", t.StartMillis, "source", source, "target_status", t.Status,
		"view_age_ms", s.cfg.View.CurrentAge().Milliseconds(), "advice_age_ms", s.AdviceAge().Milliseconds())
}

// attemptFields returns log fields that describe the last attempt and why its
// target was chosen.
func (c *call) attemptFields() []any {
	fields := []any{
		"target", c.target.ID, "address", c.target.Address, "target_status", c.target.Status, "attempts", c.sent,
		"expected_ms", millis(c.expected), "target_ms", millis(c.result.took), "left_ms", time.Until(c.deadline).Milliseconds(),
	}
	if c.sentConfig != 0 {
		fields = append(fields, "admitted_config", c.admittedConfig, "sent_config", c.sentConfig, "sent_after_ms", millis(c.sentAfter),
			"sent_view_age_ms", c.sentViewAge.Milliseconds(), "sent_advice_age_ms", c.sentAdviceAge.Milliseconds())
	}
	if c.relayedTo != "" {
		fields = append(fields, "relayed_to", c.relayedTo)
	}
	if c.result.loadKnown {
		fields = append(fields, "target_running", c.result.load.Running, "target_waiting", c.result.load.Waiting)
	}
	if c.dispatchReason != "" {
		fields = append(fields, "dispatch_reason", string(c.dispatchReason))
	}
	if c.fence != 0 {
		fields = append(fields, "fence", c.fence)
	}
	return fields
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
