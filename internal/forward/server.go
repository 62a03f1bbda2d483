package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Config is what an entry is told at start.
type Config struct {
	Name string
	// AvailabilityZone is where the entry runs; targets there cost least.
	AvailabilityZone string
	Dialect          Dialect
	View             *view.Follower
	Pool             *targethttp.Pool
	Clock            timer.Clock
	Log              *log.Logger
	// Routine takes the lines of requests that go well.
	Routine     *log.Logger
	Observer    Observer
	Report      Reporter
	RetryRatio  float64 // retries of all entries together, as a share of requests
	RetryBurst  float64 // retries that one entry may save up
	RetryMargin float64 // share of RetryRatio that is used
	// Link is shared by answers on a narrow link; nil for one that is wide enough.
	Link *limit.Link
}

// Server is an entry's edge towards callers.
type Server struct {
	cfg     Config
	log     *log.Logger
	ctx     context.Context
	targets *targets
	split   *splitter
	keys    *keyCounts
	crashes *crashes
	advice  atomic.Pointer[instance.ReportResponse]

	mu      sync.Mutex
	conns   map[*callerConn]bool
	budgets map[string]limit.Budget // by service
	ending  bool
}

// reportPeriod is the time between two reports to the leader.
const reportPeriod = 250 * time.Millisecond

// Serve answers callers on the listener until the clean-up function is called,
// which cuts all connections. Use Stop first for a planned stop.
func Serve(ctx context.Context, l net.Listener, cfg Config) (*Server, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{
		cfg:     cfg,
		log:     cfg.Log,
		ctx:     ctx,
		targets: newTargets(cfg.Clock),
		split:   newSplitter(),
		keys:    newKeyCounts(),
		crashes: newCrashes(),
		conns:   make(map[*callerConn]bool),
		budgets: make(map[string]limit.Budget),
	}
	go s.accept(l)
	go s.report(ctx)
	return s, func() {
		cancel()
		_ = l.Close()
		s.each(func(c *callerConn) { _ = c.net.Close() })
	}
}

// acceptPause lets go of a full table of descriptors.
const acceptPause = 10 * time.Millisecond

func (s *Server) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			go s.serveConn(nc)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			s.log.Warn("connection not accepted", "error", err)
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) track(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.ending {
		c.ending = true
	}
}

func (s *Server) untrack(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) each(f func(c *callerConn)) {
	s.mu.Lock()
	var all []*callerConn
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}

// Stop ends kept connections between requests and returns when all answers are
// out or ctx ends. New connections are still taken, for one request each.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	ticks, stop := s.cfg.Clock.Subscribe(stopPeriod)
	defer stop()
	for {
		s.each(func(c *callerConn) { c.stopWhenIdle() })
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d connections are still open: %w", open, ctx.Err())
		case <-ticks:
		}
	}
}

// Connections returns how many connections callers have open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Budgets returns how many retries are saved up, by service.
func (s *Server) Budgets() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]float64, len(s.budgets))
	for service, b := range s.budgets {
		out[service] = b.Available()
	}
	return out
}

// stopPeriod is the time between two looks at open connections in a stop.
const stopPeriod = 50 * time.Millisecond

func (s *Server) limits() deployment.CallerLimits {
	v := s.cfg.View.View()
	if v.DocIndex == 0 {
		return defaultLimits()
	}
	return v.Document.Limits
}

// earn counts a request for a service towards its retry budget.
func (s *Server) earn(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets[service] = s.budget(service).WithRequest()
}

// spend reports whether one more arrival at the service is within the budget.
func (s *Server) spend(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.budget(service).WithRetry()
	s.budgets[service] = next
	return ok
}

func (s *Server) budget(service string) limit.Budget {
	b, ok := s.budgets[service]
	if !ok {
		b = limit.NewBudget(s.cfg.RetryRatio*s.cfg.RetryMargin, s.cfg.RetryBurst)
	}
	return b
}

// report sends what was measured to the leader.
func (s *Server) report(ctx context.Context) {
	ticks, stop := s.cfg.Clock.Subscribe(reportPeriod)
	defer stop()
	last := s.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		v := s.cfg.View.View()
		now := s.cfg.Clock.Now()
		r := instance.ReportRequest{
			Instance:     s.cfg.Name,
			Span:         now.Sub(last),
			Keys:         s.keys.take(),
			CrashReports: s.crashes.take(),
			Targets:      s.targets.report(func(id string) bool { _, ok := v.Target(id); return ok }),
		}
		last = now
		if len(r.Keys) > 0 || len(r.Targets) > 0 || len(r.CrashReports) > 0 {
			if a := s.cfg.Report(r); a != nil {
				s.advice.Store(a)
				s.targets.setFailing(a.Failing)
			}
		}
		// Many entries report less often: the leader hears about as much.
		if n := s.entries(); n > manyEntries && !timer.Sleep(ctx, reportPeriod*time.Duration(n/manyEntries)) {
			return
		}
	}
}

// manyEntries is how many entries may report at full pace.
const manyEntries = 24

// entries returns how many entries there are as far as the leader told.
func (s *Server) entries() int {
	if a := s.advice.Load(); a != nil && a.Entries > 0 {
		return a.Entries
	}
	return assumedEntries
}

// assumedEntries is how many entries there are taken to be before the leader
// told.
const assumedEntries = 10

// fewEntries is up to how many entries the least windows of all of them together
// fit into a target's queue, so that no more is needed against overload.
const fewEntries = 16

// turnedAway decides by lot whether a request for a key that is asked for too
// often is refused. It answers a load in which one key exceeds its owner.
func (s *Server) turnedAway(service string, key deployment.Key) bool {
	a := s.advice.Load()
	if a == nil || a.Entries <= fewEntries {
		return false
	}
	for _, o := range a.Overloads {
		if o.Service == service && key >= o.From && key <= o.To {
			return rand.Float64() > o.Share
		}
	}
	return false
}

// keyCounts counts requests by buckets of keys.
type keyCounts struct {
	mu     sync.Mutex
	counts map[keyBucket]uint32
}

type keyBucket struct {
	service string
	bucket  deployment.Key
}

func newKeyCounts() *keyCounts { return &keyCounts{counts: make(map[keyBucket]uint32)} }

func (k *keyCounts) add(service string, key deployment.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[keyBucket{service: service, bucket: key - key%deployment.BucketKeys}]++
}

func (k *keyCounts) take() []instance.KeyLoad {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]instance.KeyLoad, 0, len(k.counts))
	for b, n := range k.counts {
		out = append(out, instance.KeyLoad{Service: b.service, Bucket: b.bucket, Count: n})
	}
	clear(k.counts)
	return out
}
