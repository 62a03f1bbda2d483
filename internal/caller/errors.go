package caller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/target"
)

// Outcome states whether a caller's request ran. Each response carries it in the
// Cranberrywind-Outcome header.
type Outcome string

// Outcomes of requests. With NotRun the request certainly did not run; with Unknown
// it may have run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// ErrorBody is the JSON body of each response that does not come from a target.
type ErrorBody struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	RequestID    string  `json:"request_id"`
	Field        string  `json:"field,omitempty"`
	Value        string  `json:"value,omitempty"`
	Rule         string  `json:"rule,omitempty"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// errorResponse is a response that does not come from a target.
type errorResponse struct {
	status     int
	outcome    Outcome
	reason     string
	field      string
	value      string
	rule       string
	retryAfter time.Duration // 0 if the caller should not try again
	allow      string
}

func invalidRequest(status int, field, value, rule string) errorResponse {
	return errorResponse{status: status, outcome: NotRun, reason: "invalid_request", field: field, value: value, rule: rule}
}

func rejected(r entry.Rejection) errorResponse {
	status := http.StatusServiceUnavailable
	if r.Reason == router.ReasonNoService {
		status = http.StatusNotFound
	}
	return errorResponse{status: status, outcome: NotRun, reason: string(r.Reason), retryAfter: r.RetryAfter}
}

func unknownOutcome(status int, reason string, retryAfter time.Duration) errorResponse {
	return errorResponse{status: status, outcome: Unknown, reason: reason, retryAfter: retryAfter}
}

// retryAfterBase is the shortest time after which callers are asked to try again. A
// random time of up to twice that is added, so that they don't all retry at once.
const retryAfterBase = time.Second

func randomRetryAfter() time.Duration { return retryAfterBase + rand.N(2*retryAfterBase) }

const maxErrorValueBytes = 200 // of an invalid value in an error response

// writeError writes an error response to the caller, and counts and logs it. Invalid
// requests are not counted.
func (h *Handler) writeError(w http.ResponseWriter, c *call, e errorResponse) {
	body := ErrorBody{
		Outcome:      e.outcome,
		Reason:       e.reason,
		RequestID:    c.id,
		Field:        e.field,
		Value:        e.value[:min(len(e.value), maxErrorValueBytes)],
		Rule:         e.rule,
		RetryAfterMS: e.retryAfter.Milliseconds(),
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(target.HeaderOutcome, string(e.outcome))
	if e.retryAfter > 0 {
		seconds := (e.retryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if e.allow != "" {
		header.Set("Allow", e.allow)
	}
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(body)
	if e.reason != "invalid_request" {
		h.observe(c, e.outcome, false)
	}
	h.cfg.Log.Info("request not answered by a target", "request_id", c.id, "service", c.service.Name,
		"outcome", e.outcome, "reason", e.reason, "field", e.field, "status", e.status)
}

func (h *Handler) observe(c *call, outcome Outcome, good bool) {
	if h.cfg.Observer == nil || c.service.Name == "" {
		return
	}
	h.cfg.Observer.Observe(c.service.Name, outcome, good, time.Since(c.started))
}
