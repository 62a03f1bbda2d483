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
	// Bounds of a latency histogram. With two significant digits up to one minute it
	// takes about 30 kB.
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	histogramDigits  = 2
	// maxHistograms is the maximum number of histograms, one per service and outcome.
	maxHistograms = 256
)

// metrics holds an instance's counters, gauges and histograms and serves them as JSON.
type metrics struct {
	root             *expvar.Map
	responses        *expvar.Map // by service, outcome and status
	withoutHistogram *expvar.Int // responses not recorded in a histogram, for example beyond maxHistograms

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram // by service and outcome, in microseconds
}

func newMetrics(dropped func() (routine, important, failed uint64)) *metrics {
	m := &metrics{
		root:             new(expvar.Map).Init(),
		responses:        new(expvar.Map).Init(),
		withoutHistogram: new(expvar.Int),
		latencies:        make(map[string]*hdrhistogram.Histogram),
	}
	m.root.Set("answers", m.responses)
	m.root.Set("answers_without_histogram", m.withoutHistogram)
	m.root.Set("latency_microseconds", expvar.Func(m.latencyQuantiles))
	if dropped != nil {
		m.root.Set("log_lines_dropped", expvar.Func(func() any {
			routine, important, failed := dropped()
			return map[string]uint64{"successes": routine, "others": important, "not_written": failed}
		}))
	}
	return m
}

// addGauge adds a value that is read each time the metrics are served.
func (m *metrics) addGauge(name string, read func() any) { m.root.Set(name, expvar.Func(read)) }

// Responded counts a final response to a caller and records its latency.
func (m *metrics) Responded(service, outcome string, status int, took time.Duration) {
	m.responses.Add(fmt.Sprintf("%s.%s.%d", service, outcome, status), 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	name := service + "." + outcome
	h, ok := m.latencies[name]
	if !ok {
		if len(m.latencies) >= maxHistograms {
			m.withoutHistogram.Add(1)
			return
		}
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)
		m.latencies[name] = h
	}
	if err := h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)); err != nil {
		m.withoutHistogram.Add(1)
	}
}

// latencyQuantiles returns the count, quantiles and maximum of each latency histogram,
// in microseconds.
func (m *metrics) latencyQuantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]map[string]int64, len(m.latencies))
	for name, h := range m.latencies {
		out[name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return out
}

// ServeHTTP writes all metrics as a JSON object.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has disconnected can ask again.
	_, _ = fmt.Fprintln(w, m.root.String())
}
