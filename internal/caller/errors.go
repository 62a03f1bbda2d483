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

// Outcome says what became of a request. It is in each answer's
// Cranberrywind-Outcome header.
type Outcome string

// Outcomes. NotRun is a proof that the request did not run; Unknown says that
// it may have run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// ErrorBody is the JSON body of every answer that this system gives itself.
type ErrorBody struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	RequestID    string  `json:"request_id"`
	Field        string  `json:"field,omitempty"`
	Value        string  `json:"value,omitempty"`
	Rule         string  `json:"rule,omitempty"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// failure is an answer other than a target's.
type failure struct {
	status  int
	outcome Outcome
	reason  string
	field   string
	value   string
	rule    string
	after   time.Duration // when to come back; 0 for never
	allow   string
}

func invalid(status int, field, value, rule string) failure {
	return failure{status: status, outcome: NotRun, reason: "invalid_request", field: field, value: value, rule: rule}
}

func refused(r entry.Rejection) failure {
	status := http.StatusServiceUnavailable
	if r.Reason == router.ReasonNoService {
		status = http.StatusNotFound
	}
	return failure{status: status, outcome: NotRun, reason: string(r.Reason), after: r.RetryAfter}
}

func unknown(status int, reason string, after time.Duration) failure {
	return failure{status: status, outcome: Unknown, reason: reason, after: after}
}

// Callers that can't be answered now are told to come back after at least
// comeBack, spread over twice that time more, so that they don't return together.
const comeBack = time.Second

func spreadReturn() time.Duration { return comeBack + rand.N(2*comeBack) }

const maxShownValue = 200 // bytes of a bad value in an answer

// fail gives the caller a final answer of this system's own.
func (h *Handler) fail(w http.ResponseWriter, c *call, f failure) {
	body := ErrorBody{
		Outcome:      f.outcome,
		Reason:       f.reason,
		RequestID:    c.id,
		Field:        f.field,
		Value:        f.value[:min(len(f.value), maxShownValue)],
		Rule:         f.rule,
		RetryAfterMS: f.after.Milliseconds(),
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(target.HeaderOutcome, string(f.outcome))
	if f.after > 0 {
		seconds := (f.after + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if f.allow != "" {
		header.Set("Allow", f.allow)
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(body)
	if f.reason != "invalid_request" {
		h.observe(c, f.outcome, false)
	}
	h.cfg.Log.Info("request not answered by a target", "request_id", c.id, "service", c.service.Name,
		"outcome", f.outcome, "reason", f.reason, "field", f.field, "status", f.status)
}

func (h *Handler) observe(c *call, outcome Outcome, good bool) {
	if h.cfg.Observer == nil || c.service.Name == "" {
		return
	}
	h.cfg.Observer.Observe(c.service.Name, outcome, good, time.Since(c.started))
}
