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
	"github.com/cranberrywind/cranberrywind/internal/dispatcher"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Config configures an entry.
type Config struct {
	Name string
	// AvailabilityZone is where the entry runs; it prefers targets there.
	AvailabilityZone string
	Headers          HeaderNames
	View             *view.Follower
	Pool             *targethttp.Pool
	Clock            timer.Clock
	Log              *log.Logger
	// RoutineLog receives the log lines of successful requests.
	RoutineLog *log.Logger
	Observer   Observer
	Report     Reporter
	RetryRatio float64 // retries of all entries together, as a share of requests
	RetrySlack float64 // retries of all entries together beyond RetryRatio
	RetryShare float64 // part of both that the entries use
	// ConfigApply is the time within which an acknowledged configuration has to be in force.
	ConfigApply time.Duration
	// TargetDrain is for how long a target that is leaving still serves requests.
	TargetDrain time.Duration
	// GrantsByHeartbeat reports that targets learn only at their heartbeats which keys
	// to hold.
	GrantsByHeartbeat bool
	// RelayAddress is where other entries pass requests on to this one, at ServePeers. It
	// is empty if they can't.
	RelayAddress string
	// BodyBudget bounds the bytes of request bodies that are held in memory; 0 stands for
	// defaultBodyBudget.
	BodyBudget int
	// Link shares the bandwidth of a narrow link among responses. It is nil for a
	// wide one.
	Link *limit.Link
	// Dispatcher asks for slots of targets where the configuration calls for it. It is nil
	// for an entry that always chooses by itself.
	Dispatcher *dispatcher.Dispatcher
}

// Server is an entry's HTTP server for callers.
type Server struct {
	cfg     Config
	log     *log.Logger
	ctx     context.Context
	targets *targetStates
	split   *splitter
	keys    *keyCounts
	crashes *crashRecorder
	path    *pathMonitor
	peers   *peers
	relays  relayCounts

	dispatched *dispatchCounts
	rejections rejectionCounts
	demand     *demandCounts
	zoneAdvice atomic.Pointer[zoneAdvice] // nil until the leader advises it
	returns    *returnTimes

	bodies *bodyBudget
	// peerConfig is the log index of the newest configuration by which a peer has served
	// a request of this entry.
	peerConfig atomic.Uint64
	advice     atomic.Pointer[instance.ReportResponse]
	adviceMu   sync.Mutex
	advisedBy  uint64       // number of the report that the advice answers
	advisedAt  atomic.Int64 // on the boot clock, when the last report was sent that advice answered
	// invalidRests counts answers with a Retry-After that can't be used.
	invalidRests atomic.Uint64
	notWritten   atomic.Uint64 // responses that callers did not get completely

	listeners []net.Listener
	accepting sync.WaitGroup // for the loops that accept connections of the listeners

	mu           sync.Mutex
	conns        map[*callerConn]bool
	retryBudgets map[string]limit.Budget // by service
	draining     bool                    // a graceful shutdown follows
	stopping     bool
	stopBy       time.Time // when a graceful shutdown ends; zero if unknown
}

// reportInterval is the time between two reports to the leader.
const reportInterval = 250 * time.Millisecond

// Serve accepts callers on the listener until the returned clean-up function is
// called, which closes all connections at once. Call Shutdown first for a graceful
// shutdown.
func Serve(ctx context.Context, listener net.Listener, cfg Config) (*Server, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{
		cfg:          cfg,
		log:          cfg.Log,
		ctx:          ctx,
		targets:      newTargetStates(cfg.Clock),
		split:        newSplitter(),
		keys:         newKeyCounts(),
		crashes:      newCrashRecorder(),
		bodies:       newBodyBudget(cfg.BodyBudget),
		conns:        make(map[*callerConn]bool),
		retryBudgets: make(map[string]limit.Budget),
		dispatched:   newDispatchCounts(),
		demand:       newDemandCounts(),
		returns:      newReturnTimes(),
	}
	s.targets.coldRate = func(service string) float64 { return cfg.View.View().Config.ColdRateOf(service) }
	s.path = newPathMonitor(ctx, cfg.Clock, cfg.Log, func() []deployment.Target { return cfg.View.View().Live() }, s.targets.closeCircuits)
	s.peers = newPeers(cfg.Clock, cfg.RelayAddress, cfg.AvailabilityZone)
	s.acceptFrom(listener, false)
	go s.reportLoop(ctx)
	return s, func() {
		cancel()
		s.stopAccepting()
		s.awaitResponses(lastResponseTime)
		s.forEachConn(func(c *callerConn) {
			c.logUnanswered()
			_ = c.conn.Close()
		})
	}
}

// lastResponseTime is how long the responses to cancelled requests may take to be written.
const lastResponseTime = 100 * time.Millisecond

// awaitResponses waits until no response is due, or for the limit.
func (s *Server) awaitResponses(limit time.Duration) {
	const interval = 5 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += interval {
		due := 0
		s.forEachConn(func(c *callerConn) { due += c.pendingCount() })
		if due == 0 {
			return
		}
		time.Sleep(interval)
	}
}

// acceptBackoff is the pause after a failed accept. It gives connections time to
// close when the process is out of file descriptors.
const acceptBackoff = 10 * time.Millisecond

func (s *Server) accept(listener net.Listener, fromPeers bool) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			c := s.newConn(conn, fromPeers)
			s.track(c)
			go c.serve()
		case errors.Is(err, net.ErrClosed):
			return
		default:
			s.log.Warn("accept failed", "error", err)
			time.Sleep(acceptBackoff)
		}
	}
}

// acceptFrom begins to accept the connections of a listener.
func (s *Server) acceptFrom(listener net.Listener, fromPeers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
	s.accepting.Go(func() { s.accept(listener, fromPeers) })
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// stopAccepting closes the listeners. All connections that were accepted are tracked once it
// returns.
func (s *Server) stopAccepting() {
	s.closeListeners()
	s.accepting.Wait()
}

func (s *Server) track(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

func (s *Server) untrack(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) forEachConn(f func(c *callerConn)) {
	s.mu.Lock()
	var conns []*callerConn
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// Drain tells the server that a graceful shutdown follows, which ends when ctx does: other
// entries pass no more requests on to it.
func (s *Server) Drain(ctx context.Context) {
	if s.cfg.Dispatcher != nil {
		s.cfg.Dispatcher.Drain()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.stopBy, _ = ctx.Deadline()
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.stopping
}

// Shutdown closes idle connections, and the others once their responses are written.
// A new connection may still send one request. No further one is accepted once none is
// open, or shortly before ctx ends. Shutdown returns when all are closed, or with an error
// when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	stopBy, bounded := ctx.Deadline()
	s.mu.Lock()
	s.stopping, s.stopBy = true, stopBy
	s.mu.Unlock()
	ticks, stop := s.cfg.Clock.Subscribe(shutdownPollInterval)
	defer stop()
	accepting := true
	for {
		s.forEachConn(func(c *callerConn) { c.closeWhenIdle() })
		open := s.Connections()
		switch {
		case open == 0 && !accepting:
			return nil
		case accepting && (open == 0 || bounded && time.Until(stopBy) < firstRequestTime):
			// Connections that were accepted meanwhile still have time for a request.
			s.stopAccepting()
			accepting = false
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d connections are still open: %w", open, ctx.Err())
		case <-ticks:
		}
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Connections returns the number of open connections of callers.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// RetryBudgets returns the number of retries available now, by service.
func (s *Server) RetryBudgets() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]float64, len(s.retryBudgets))
	for service, b := range s.retryBudgets {
		out[service] = b.Available()
	}
	return out
}

// InvalidRests returns the number of targets' answers with an invalid Retry-After.
func (s *Server) InvalidRests() uint64 { return s.invalidRests.Load() }

// PathLost reports whether no target can be reached from this entry.
func (s *Server) PathLost() bool { return s.path.Lost() }

// CanServe reports whether this entry reaches a target, or another entry that may.
func (s *Server) CanServe() bool { return !s.path.Lost() || s.peers.Available() }

// PathLosses returns how often no target could be reached any more.
func (s *Server) PathLosses() uint64 { return s.path.Losses() }

// NotWritten returns the number of responses that callers did not get completely.
func (s *Server) NotWritten() uint64 { return s.notWritten.Load() }

// RateLimits returns the rate limits of targets that are in force, in requests a second
// of all entries together, by target.
func (s *Server) RateLimits() map[string]float64 { return s.targets.rateLimits() }

// shutdownPollInterval is how often Shutdown checks for open connections.
const shutdownPollInterval = 50 * time.Millisecond

func (s *Server) callerLimits() deployment.CallerLimits {
	v := s.cfg.View.View()
	if v.ConfigIndex == 0 {
		return defaultLimits()
	}
	return v.Config.Limits.Bounded()
}

// creditRetryBudget adds a request to the retry budget of its service.
func (s *Server) creditRetryBudget(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudgets[service] = s.retryBudget(service).WithRequest()
}

// chargeRetryBudget takes a retry from the service's retry budget, and reports whether
// one was available.
func (s *Server) chargeRetryBudget(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.retryBudget(service).WithRetry()
	s.retryBudgets[service] = next
	return ok
}

func (s *Server) retryBudget(service string) limit.Budget {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = limit.NewBudget(s.cfg.RetryRatio*s.cfg.RetryShare, unadvisedRetries)
	}
	return b.WithBurst(s.retryBurst())
}

// unadvisedRetries is the number of retries that an entry may save up until the leader
// has advised the number of entries.
const unadvisedRetries = 1.0

// retryBurst returns the number of retries that this entry may save up: an equal part of
// the retries that all entries together have beyond their share of the requests.
func (s *Server) retryBurst() float64 {
	a := s.advice.Load()
	if a == nil || a.Entries == 0 {
		return unadvisedRetries
	}
	return max(unadvisedRetries, s.cfg.RetrySlack*s.cfg.RetryShare/float64(a.Entries))
}

// maxEntriesWithinQueue is the largest number of entries whose minimum windows
// together fit into a target's queue. Up to it, windows alone prevent overload.
const maxEntriesWithinQueue = 16

// rejectOverload reports whether to reject a request for a key that gets more
// requests than its owner can serve, or whose owner gets more for all of its keys. It picks at random the share that the owner
// can't serve. With at most maxEntriesWithinQueue entries it rejects nothing, since
// windows prevent overload.
func (s *Server) rejectOverload(service string, key deployment.Key, owner deployment.Target) bool {
	a := s.advice.Load()
	if a == nil || a.Entries <= maxEntriesWithinQueue {
		return false
	}
	for _, o := range a.Overloads {
		if o.Service == service && key >= o.From && key <= o.To {
			return rand.Float64() > o.Share
		}
	}
	for _, o := range a.OverloadedOwners {
		if o.Target == owner.ID && o.StartMillis == owner.StartMillis {
			return rand.Float64() > o.Share
		}
	}
	return false
}
