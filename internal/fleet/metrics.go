package fleet

import (
	"expvar"
	"fmt"
	"net/http"
	"time"
)

// metrics are an instance's counters, served as text.
type metrics struct {
	root    *expvar.Map
	answers *expvar.Map // by service and outcome
	micros  *expvar.Map // sum of answer times by service, in microseconds
}

func newMetrics() *metrics {
	m := &metrics{root: new(expvar.Map).Init(), answers: new(expvar.Map).Init(), micros: new(expvar.Map).Init()}
	m.root.Set("answers", m.answers)
	m.root.Set("answer_microseconds", m.micros)
	return m
}

// Answered counts a final answer to a caller.
func (m *metrics) Answered(service, outcome string, _ int, took time.Duration) {
	m.answers.Add(service+"."+outcome, 1)
	m.micros.Add(service, took.Microseconds())
}

// ServeHTTP writes all counters.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintln(w, m.root.String())
}
