package daemon

import (
	"expvar"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// metrics are an instance's counters. They are kept out of the process-wide
// expvar registry, so that several instances can share a process and nothing
// is served on a default mux.
type metrics struct {
	root    *expvar.Map
	answers *expvar.Map // by service and outcome
	micros  *expvar.Map // sum of answer times by service, in microseconds
	traffic *instance.Traffic
}

func newMetrics() *metrics {
	m := &metrics{root: new(expvar.Map).Init(), answers: new(expvar.Map).Init(), micros: new(expvar.Map).Init()}
	m.traffic = &instance.Traffic{}
	m.root.Set("instance_bytes_in", expvar.Func(func() any { return m.traffic.In() }))
	m.root.Set("instance_bytes_out", expvar.Func(func() any { return m.traffic.Out() }))
	m.root.Set("answers", m.answers)
	m.root.Set("answer_microseconds", m.micros)
	return m
}

func (m *metrics) observe(service, outcome string, took time.Duration) {
	m.answers.Add(service+"."+outcome, 1)
	m.micros.Add(service, took.Microseconds())
}
