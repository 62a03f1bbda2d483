package daemon

import (
	"expvar"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// metrics holds an instance's counters. They are not in the process-wide expvar
// registry, so that several instances can run in one process and the default HTTP mux
// does not serve them.
type metrics struct {
	root           *expvar.Map
	responses      *expvar.Map // by service and outcome
	responseMicros *expvar.Map // sum of response times by service, in microseconds
	unavailable    *expvar.Map // time without a good response by service, in microseconds
	traffic        *instance.Traffic

	mu               sync.Mutex
	unavailableSince map[string]time.Time // first bad response after the last good one, by service
}

func newMetrics() *metrics {
	m := &metrics{
		root:             new(expvar.Map).Init(),
		responses:        new(expvar.Map).Init(),
		responseMicros:   new(expvar.Map).Init(),
		unavailable:      new(expvar.Map).Init(),
		traffic:          &instance.Traffic{},
		unavailableSince: make(map[string]time.Time),
	}
	m.root.Set("instance_bytes_in", expvar.Func(func() any { return m.traffic.In() }))
	m.root.Set("instance_bytes_out", expvar.Func(func() any { return m.traffic.Out() }))
	m.root.Set("answers", m.responses)
	m.root.Set("answer_microseconds", m.responseMicros)
	m.root.Set("unavailable_microseconds", m.unavailable)
	return m
}

func (m *metrics) observe(service, outcome string, good bool, took time.Duration) {
	m.responses.Add(service+"."+outcome, 1)
	m.responseMicros.Add(service, took.Microseconds())
	m.observeAvailability(service, good, time.Now())
}

// observeAvailability adds the time from a service's first bad response to the next
// good one, as seen by this entry's callers, to the unavailable time.
func (m *metrics) observeAvailability(service string, good bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, bad := m.unavailableSince[service]
	switch {
	case !good && !bad:
		m.unavailableSince[service] = now
	case good && bad:
		delete(m.unavailableSince, service)
		m.unavailable.Add(service, now.Sub(since).Microseconds())
	}
}
