package daemon

import (
	"expvar"
	"time"
)

// metrics are an instance's counters. They are kept out of the process-wide
// expvar registry, so that several instances can share a process and nothing
// is served on a default mux.
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

func (m *metrics) observe(service, outcome string, took time.Duration) {
	m.answers.Add(service+"."+outcome, 1)
	m.micros.Add(service, took.Microseconds())
}
