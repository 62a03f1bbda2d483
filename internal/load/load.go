// Package load sends requests at a fixed rate, whatever the answers, and
// measures how they are answered. Requests are drawn from a seed, so that a run
// can be repeated.
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

// Kind is one kind of request in the mix.
type Kind struct {
	Name   string  // in reports
	Method string  // of the requests
	Prefix string  // of the path; a key follows
	Suffix string  // of the path, with the query
	Weight float64 // share in the mix
	Books  bool    // carries a new idempotency key each time
}

// Config describes a run.
type Config struct {
	Targets  []string // caller addresses, used in turn
	Rate     float64  // requests a second
	Duration time.Duration
	Kinds    []Kind
	Keys     int     // different keys
	Skew     float64 // Zipf exponent above 1; 0 for keys that are equally likely
	Seed     uint64
	Timeout  time.Duration
	Progress io.Writer // gets a line each second; may be nil
}

// Result is what a run measured.
type Result struct {
	Rate     float64                `json:"rate"`
	Duration time.Duration          `json:"duration_ns"`
	Seed     uint64                 `json:"seed"`
	Kinds    map[string]*KindResult `json:"kinds"`
}

// KindResult is what a run measured of one kind. Times are counted from when a
// request should have been sent.
type KindResult struct {
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	P50      time.Duration  `json:"p50_ns"`
	P99      time.Duration  `json:"p99_ns"`
	Max      time.Duration  `json:"max_ns"`
	// RefusedP50 and RefusedP99 are how long callers waited for a refusal.
	RefusedP50 time.Duration `json:"refused_p50_ns"`
	RefusedP99 time.Duration `json:"refused_p99_ns"`
	times      *hdrhistogram.Histogram
	refusals   *hdrhistogram.Histogram
}

const (
	maxTracked = int64(time.Minute) // longest time that the histogram tells apart
	digits     = 3
	idleConns  = 512
)

// generator draws requests and collects their answers.
type generator struct {
	cfg    Config
	rng    *rand.Rand
	zipf   *rand.Zipf
	client *http.Client
	mu     sync.Mutex
	result Result
}

// request is one drawn request.
type request struct {
	kind    Kind
	url     string
	key     string // idempotency key
	planned time.Time
}

// Run sends the load and returns what it measured. It ends early with ctx.
func Run(ctx context.Context, cfg Config) Result {
	g := newGenerator(cfg)
	g.send(ctx)
	g.client.CloseIdleConnections()
	for _, k := range g.result.Kinds {
		k.P50 = time.Duration(k.times.ValueAtQuantile(50))
		k.P99 = time.Duration(k.times.ValueAtQuantile(99))
		k.Max = time.Duration(k.times.Max())
		k.RefusedP50 = time.Duration(k.refusals.ValueAtQuantile(50))
		k.RefusedP99 = time.Duration(k.refusals.ValueAtQuantile(99))
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
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}
	g.client = &http.Client{Transport: transport, Timeout: cfg.Timeout}
	g.result = Result{Rate: cfg.Rate, Duration: cfg.Duration, Seed: cfg.Seed, Kinds: make(map[string]*KindResult)}
	for _, k := range cfg.Kinds {
		g.result.Kinds[k.Name] = &KindResult{
			Outcomes: make(map[string]int),
			times:    hdrhistogram.New(1, maxTracked, digits),
			refusals: hdrhistogram.New(1, maxTracked, digits),
		}
	}
	return g
}

// send starts each request at its planned time, however many are under way.
func (g *generator) send(ctx context.Context) {
	total := int(g.cfg.Rate * g.cfg.Duration.Seconds())
	gap := time.Duration(float64(time.Second) / g.cfg.Rate)
	began := time.Now()
	var wg sync.WaitGroup
	for i := range total {
		planned := began.Add(time.Duration(i) * gap)
		waitUntil(planned)
		if ctx.Err() != nil {
			break
		}
		g.progress(i, began)
		r := g.draw(i, planned)
		wg.Go(func() { g.run(r) })
	}
	wg.Wait()
}

// sleepMargin is how long before its time a request's wait turns into polling,
// since a sleep may last that much too long.
const sleepMargin = 2 * time.Millisecond

func waitUntil(planned time.Time) {
	if wait := time.Until(planned) - sleepMargin; wait > 0 {
		time.Sleep(wait)
	}
	for time.Now().Before(planned) {
		runtime.Gosched()
	}
}

func (g *generator) progress(i int, began time.Time) {
	if g.cfg.Progress == nil || i == 0 || i%int(max(g.cfg.Rate, 1)) != 0 {
		return
	}
	_, _ = fmt.Fprintf(g.cfg.Progress, "%s: %d requests sent\n", time.Since(began).Round(time.Second), i)
}

func (g *generator) draw(i int, planned time.Time) request {
	kind := g.pick()
	address := g.cfg.Targets[i%len(g.cfg.Targets)]
	r := request{kind: kind, planned: planned}
	r.url = fmt.Sprintf("http://%s%sk%d%s", address, kind.Prefix, g.key(), kind.Suffix)
	if kind.Books {
		r.key = fmt.Sprintf("load-%d-%d-%d", g.cfg.Seed, planned.UnixNano(), i)
	}
	return r
}

func (g *generator) pick() Kind {
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

func (g *generator) key() uint64 {
	if g.zipf != nil {
		return g.zipf.Uint64()
	}
	return g.rng.Uint64N(uint64(max(g.cfg.Keys, 1)))
}

func (g *generator) run(r request) {
	outcome := g.outcome(r)
	took := time.Since(r.planned)
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.result.Kinds[r.kind.Name]
	k.Sent++
	k.Outcomes[outcome]++
	if outcome == "not_run" {
		_ = k.refusals.RecordValue(min(int64(took), maxTracked))
	}
	if strings.HasPrefix(outcome, "done") || strings.HasPrefix(outcome, "200") {
		_ = k.times.RecordValue(min(int64(took), maxTracked))
	}
}

// outcome sends the request and names what came of it.
func (g *generator) outcome(r request) string {
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

// WriteText writes the result as a table.
func (r Result) WriteText(w io.Writer) error {
	for name, k := range r.Kinds {
		_, err := fmt.Fprintf(w, "%-12s sent %d, %v; answered: p50 %s, p99 %s, max %s; refused: p50 %s, p99 %s\n",
			name, k.Sent, k.Outcomes, k.P50, k.P99, k.Max, k.RefusedP50, k.RefusedP99)
		if err != nil {
			return err
		}
	}
	return nil
}
