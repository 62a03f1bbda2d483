package daemon

import (
	"expvar"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// metrics are an instance's counters. They are kept out of the process-wide
// expvar registry, so that several instances can share a process and nothing
// is served on a default mux.
type metrics struct {
	root        *expvar.Map
	answers     *expvar.Map // by service and outcome
	micros      *expvar.Map // sum of answer times by service, in microseconds
	unavailable *expvar.Map // time without a good answer by service, in microseconds
	traffic     *instance.Traffic

	mu       sync.Mutex
	badSince map[string]time.Time // by service, while no answer is good
}

func newMetrics() *metrics {
	m := &metrics{
		root:        new(expvar.Map).Init(),
		answers:     new(expvar.Map).Init(),
		micros:      new(expvar.Map).Init(),
		unavailable: new(expvar.Map).Init(),
		traffic:     &instance.Traffic{},
		badSince:    make(map[string]time.Time),
	}
	m.root.Set("instance_bytes_in", expvar.Func(func() any { return m.traffic.In() }))
	m.root.Set("instance_bytes_out", expvar.Func(func() any { return m.traffic.Out() }))
	m.root.Set("answers", m.answers)
	m.root.Set("answer_microseconds", m.micros)
	m.root.Set("unavailable_microseconds", m.unavailable)
	return m
}

func (m *metrics) observe(service, outcome string, good bool, took time.Duration) {
	m.answers.Add(service+"."+outcome, 1)
	m.micros.Add(service, took.Microseconds())
	m.observeGood(service, good, time.Now())
}

// observeGood counts the time from a service's first bad answer to the next
// good one, as this entry's callers see it.
func (m *metrics) observeGood(service string, good bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, bad := m.badSince[service]
	switch {
	case !good && !bad:
		m.badSince[service] = now
	case good && bad:
		delete(m.badSince, service)
		m.unavailable.Add(service, now.Sub(since).Microseconds())
	}
}
