// Package load generates open-loop load: it sends requests at a fixed rate, independent
// of the responses, and measures latencies and outcomes. Kinds and keys of requests come
// from a seeded random generator, so that a run can be repeated.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind describes one kind of request in the mix.
type Kind struct {
	Name    string  // name in the result
	Method  string  // HTTP method
	Prefix  string  // path before the key
	Suffix  string  // rest of the path and query after the key
	Weight  float64 // share of the mix, relative to the other kinds
	Booking bool    // whether each request carries a new idempotency key
}

// Config configures a run.
type Config struct {
	Addresses []string // IP:PORT to send to, used in turn
	Rate      float64  // requests per second
	Duration  time.Duration
	Kinds     []Kind
	Keys      int     // number of different keys
	Skew      float64 // Zipf exponent if above 1, else keys are uniformly distributed
	Seed      uint64
	Timeout   time.Duration // of each request
	Progress  io.Writer     // receives a line about once a second; may be nil
}

// Result holds the measurements of a run, by the names of the kinds.
type Result struct {
	Rate     float64                `json:"rate"`
	Duration time.Duration          `json:"duration_ns"`
	Seed     uint64                 `json:"seed"`
	Kinds    map[string]*KindResult `json:"kinds"`
}

// KindResult holds the measurements of one kind. Latencies count from the planned start
// of a request. P50, P99 and Max cover the requests with outcome done, whatever their
// status, and those without an outcome header that have status 200.
type KindResult struct {
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	P50      time.Duration  `json:"p50_ns"`
	P99      time.Duration  `json:"p99_ns"`
	Max      time.Duration  `json:"max_ns"`
	// RejectedP50 and RejectedP99 cover the requests with outcome not_run.
	RejectedP50 time.Duration `json:"refused_p50_ns"`
	RejectedP99 time.Duration `json:"refused_p99_ns"`
	latencies   *hdrhistogram.Histogram
	rejections  *hdrhistogram.Histogram
}

const (
	maxLatency        = int64(time.Minute) // nanoseconds; longer latencies are recorded as this
	significantDigits = 3
	maxIdleConns      = 512
)

// generator generates requests and collects their outcomes.
type generator struct {
	cfg    Config
	rng    *rand.Rand
	zipf   *rand.Zipf
	client *http.Client
	mu     sync.Mutex
	result Result
}

// request is one request to send.
type request struct {
	kind    Kind
	url     string
	key     string // idempotency key, or empty
	planned time.Time
}

// Run sends the load and returns the measurements. It stops sending when ctx ends, and
// waits for the requests in flight.
func Run(ctx context.Context, cfg Config) Result {
	g := newGenerator(cfg)
	g.sendAll(ctx)
	g.client.CloseIdleConnections()
	for _, k := range g.result.Kinds {
		k.P50 = time.Duration(k.latencies.ValueAtQuantile(50))
		k.P99 = time.Duration(k.latencies.ValueAtQuantile(99))
		k.Max = time.Duration(k.latencies.Max())
		k.RejectedP50 = time.Duration(k.rejections.ValueAtQuantile(50))
		k.RejectedP99 = time.Duration(k.rejections.ValueAtQuantile(99))
	}
	return g.result
}

func newGenerator(cfg Config) *generator {
	g := &generator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	if cfg.Skew > 1 {
		g.zipf = rand.NewZipf(g.rng, cfg.Skew, 1, uint64(max(cfg.Keys, 1)-1))
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	g.client = &http.Client{Transport: transport, Timeout: cfg.Timeout}
	g.result = Result{Rate: cfg.Rate, Duration: cfg.Duration, Seed: cfg.Seed, Kinds: make(map[string]*KindResult)}
	for _, k := range cfg.Kinds {
		g.result.Kinds[k.Name] = &KindResult{
			Outcomes:   make(map[string]int),
			latencies:  hdrhistogram.New(1, maxLatency, significantDigits),
			rejections: hdrhistogram.New(1, maxLatency, significantDigits),
		}
	}
	return g
}

// sendAll sends each request at its planned time, however many are in flight, and waits
// for all outcomes.
func (g *generator) sendAll(ctx context.Context) {
	total := int(g.cfg.Rate * g.cfg.Duration.Seconds())
	gap := time.Duration(float64(time.Second) / g.cfg.Rate)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range total {
		planned := start.Add(time.Duration(i) * gap)
		waitUntil(planned)
		if ctx.Err() != nil {
			break
		}
		g.printProgress(i, start)
		r := g.newRequest(i, planned)
		wg.Go(func() { g.measure(r) })
	}
	wg.Wait()
}

// sleepMargin is how long before a request's planned time waitUntil stops sleeping and
// polls the clock, since a sleep may overrun by this much.
const sleepMargin = 2 * time.Millisecond

func waitUntil(planned time.Time) {
	if wait := time.Until(planned) - sleepMargin; wait > 0 {
		time.Sleep(wait)
	}
	for time.Now().Before(planned) {
		runtime.Gosched()
	}
}

// printProgress prints the number of requests sent, about once a second: each time that
// Rate more requests were sent.
func (g *generator) printProgress(i int, start time.Time) {
	if g.cfg.Progress == nil || i == 0 || i%int(max(g.cfg.Rate, 1)) != 0 {
		return
	}
	_, _ = fmt.Fprintf(g.cfg.Progress, "%s: %d requests sent\n", time.Since(start).Round(time.Second), i)
}

// newRequest returns the ith request, of a random kind and key.
func (g *generator) newRequest(i int, planned time.Time) request {
	kind := g.randomKind()
	address := g.cfg.Addresses[i%len(g.cfg.Addresses)]
	r := request{kind: kind, planned: planned}
	r.url = fmt.Sprintf("http://%s%sk%d%s", address, kind.Prefix, g.randomKey(), kind.Suffix)
	if kind.Booking {
		r.key = fmt.Sprintf("load-%d-%d-%d", g.cfg.Seed, planned.UnixNano(), i)
	}
	return r
}

// randomKind returns a random kind, weighted by the kinds' weights.
func (g *generator) randomKind() Kind {
	total := 0.0
	for _, k := range g.cfg.Kinds {
		total += k.Weight
	}
	x := g.rng.Float64() * total
	for _, k := range g.cfg.Kinds {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return g.cfg.Kinds[len(g.cfg.Kinds)-1]
}

// randomKey returns the number of a random key.
func (g *generator) randomKey() uint64 {
	if g.zipf != nil {
		return g.zipf.Uint64()
	}
	return g.rng.Uint64N(uint64(max(g.cfg.Keys, 1)))
}

// measure sends a request and records its outcome and latency.
func (g *generator) measure(r request) {
	outcome := g.sendRequest(r)
	latency := time.Since(r.planned)
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.result.Kinds[r.kind.Name]
	k.Sent++
	k.Outcomes[outcome]++
	if outcome == "not_run" {
		_ = k.rejections.RecordValue(min(int64(latency), maxLatency))
	}
	if strings.HasPrefix(outcome, "done") || strings.HasPrefix(outcome, "200") {
		_ = k.latencies.RecordValue(min(int64(latency), maxLatency))
	}
}

// sendRequest sends a request and returns its outcome: the outcome header, with the
// status if a target answered with a server error; the status if there is no such
// header; "broken" if there was no complete response; "invalid" if the request could
// not be created.
func (g *generator) sendRequest(r request) string {
	req, err := http.NewRequest(r.kind.Method, r.url, nil)
	if err != nil {
		return "invalid"
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return "broken"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken"
	}
	name := resp.Header.Get("Cranberrywind-Outcome")
	if name == "" {
		name = fmt.Sprint(resp.StatusCode)
	} else if resp.StatusCode >= http.StatusInternalServerError && name == "done" {
		name = "done_" + fmt.Sprint(resp.StatusCode)
	}
	return name
}

// WriteText writes the result as text, one line for each kind.
func (r Result) WriteText(w io.Writer) error {
	for name, k := range r.Kinds {
		_, err := fmt.Fprintf(w, "%-12s sent %d, %v; answered: p50 %s, p99 %s, max %s; refused: p50 %s, p99 %s\n",
			name, k.Sent, k.Outcomes, k.P50, k.P99, k.Max, k.RejectedP50, k.RejectedP99)
		if err != nil {
			return err
		}
	}
	return nil
}
