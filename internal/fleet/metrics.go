package fleet

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Bounds of the latency histograms, in microseconds: two significant digits
	// up to a minute take about 30 kB each.
	leastMicros   = 1
	mostMicros    = int64(time.Minute / time.Microsecond)
	histogramBits = 2
	// maxSeries bounds how many pairs of service and outcome have a histogram.
	maxSeries = 256
)

// metrics are an instance's counters and histograms, served as text.
type metrics struct {
	root    *expvar.Map
	answers *expvar.Map // by service, outcome and status
	skipped *expvar.Int // answers without a histogram, as there are too many series

	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram // by service and outcome, in microseconds
}

func newMetrics(dropped func() (routine, important, failed uint64)) *metrics {
	m := &metrics{
		root:    new(expvar.Map).Init(),
		answers: new(expvar.Map).Init(),
		skipped: new(expvar.Int),
		latency: make(map[string]*hdrhistogram.Histogram),
	}
	m.root.Set("answers", m.answers)
	m.root.Set("answers_without_histogram", m.skipped)
	m.root.Set("latency_microseconds", expvar.Func(m.quantiles))
	if dropped != nil {
		m.root.Set("log_lines_dropped", expvar.Func(func() any {
			routine, important, failed := dropped()
			return map[string]uint64{"successes": routine, "others": important, "not_written": failed}
		}))
	}
	return m
}

// gauge serves a value that is read when it is asked for.
func (m *metrics) gauge(name string, read func() any) { m.root.Set(name, expvar.Func(read)) }

// Answered counts a final answer to a caller.
func (m *metrics) Answered(service, outcome string, status int, took time.Duration) {
	m.answers.Add(fmt.Sprintf("%s.%s.%d", service, outcome, status), 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	name := service + "." + outcome
	h, ok := m.latency[name]
	if !ok {
		if len(m.latency) >= maxSeries {
			m.skipped.Add(1)
			return
		}
		h = hdrhistogram.New(leastMicros, mostMicros, histogramBits)
		m.latency[name] = h
	}
	if err := h.RecordValue(min(max(took.Microseconds(), leastMicros), mostMicros)); err != nil {
		m.skipped.Add(1)
	}
}

// quantiles returns the latency histograms' usual quantiles.
func (m *metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]map[string]int64, len(m.latency))
	for name, h := range m.latency {
		out[name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return out
}

// ServeHTTP writes all metrics.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that is gone asks again.
	_, _ = fmt.Fprintln(w, m.root.String())
}
