// Package standin is a small target for tests, examples and the dev command.
// It announces itself, accepts grants, runs requests within its slots and
// records each request that it accepts.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/target"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Config describes a stand-in target.
type Config struct {
	Name             string
	Service          string
	Kind             string // lookup, booking or download
	Address          string // IP:PORT; port 0 picks a free one
	AvailabilityZone string
	Slots            int
	Connections      int
	ChecksFence      bool
	Announce         []string      // addresses that take announcements
	Work             time.Duration // spent on each request
	DownloadBytes    int
	RecordPath       string // file for records; empty keeps them in memory only
	Crash            func() // runs where a request asks for a crash
	BreakAfter       int    // bytes of a download after which the connection breaks
	StallAfter       int    // bytes of a download after which nothing more comes
	FailStatus       int    // answered to every request at once, if not 0
}

// Record is one request that a target accepted.
type Record struct {
	Target      string         `json:"target"`
	Incarnation string         `json:"incarnation"`
	Service     string         `json:"service"`
	Point       keyspace.Point `json:"point"`
	Epoch       uint64         `json:"epoch"`
	BookingKey  string         `json:"booking_key,omitempty"`
	Begin       int64          `json:"begin"` // nanoseconds of the system clock
}

// Target is a running stand-in.
type Target struct {
	cfg         Config
	incarnation string
	clock       *timer.System
	server      *http.Server
	listener    net.Listener
	cancel      context.CancelFunc
	slots       chan struct{}
	records     *recorder
	addresses   []string // that take announcements; only announceLoop uses it
	crashed     atomic.Bool

	mu       sync.Mutex
	draining bool
	grants   instance.GrantSet
	lease    lease.Held
	booked   map[string]int
	frozen   chan struct{} // closed when not frozen
	wake     chan struct{}
}

const (
	defaultHeartbeat = 150 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
)

// Start starts a target and returns it with its clean-up function.
func Start(ctx context.Context, cfg Config) (*Target, func(), error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	records, closeRecords, err := newRecorder(cfg.RecordPath)
	if err != nil {
		return nil, nil, errors.Join(err, l.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	running := make(chan struct{})
	close(running)
	t := &Target{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		clock:       timer.NewSystem(ctx),
		listener:    l,
		cancel:      cancel,
		slots:       make(chan struct{}, max(cfg.Slots, 1)),
		records:     records,
		addresses:   slices.Clone(cfg.Announce),
		booked:      make(map[string]int),
		frozen:      running,
		wake:        make(chan struct{}, 1),
	}
	t.server = &http.Server{Handler: t.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(l) }()
	go t.announceLoop(ctx)
	return t, func() {
		cancel()
		_ = t.server.Close()
		closeRecords()
	}, nil
}

// Address returns where the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Name returns the target's name.
func (t *Target) Name() string { return t.cfg.Name }

// Incarnation returns the ID of this start.
func (t *Target) Incarnation() string { return t.incarnation }

// Records returns the requests that the target accepted.
func (t *Target) Records() []Record { return t.records.all() }

// Kill ends the target as a crash would.
func (t *Target) Kill() {
	t.cancel()
	_ = t.server.Close()
}

// Drain makes the target announce that it is leaving.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.announceSoon()
}

// Freeze stops heartbeats and all handling of requests until Thaw.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozen = make(chan struct{})
}

// Thaw ends a Freeze.
func (t *Target) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.frozen)
}

func (t *Target) gate() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.frozen
}

func (t *Target) handler() http.Handler {
	r := chi.NewRouter()
	r.Post(target.GrantPath, t.serveGrant)
	r.HandleFunc("/*", t.serveRequest)
	return r
}

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request) {
	<-t.gate()
	var grants instance.GrantSet
	if err := json.NewDecoder(r.Body).Decode(&grants); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	taken := t.applyGrants(grants)
	t.mu.Unlock()
	if !taken {
		http.Error(w, "grants are older than the last ones", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// refusal tells why a request must not run, or returns "".
func (t *Target) refusal(r *http.Request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.cfg.ChecksFence || r.Header.Get(target.HeaderEpoch) == "" {
		return ""
	}
	if err := t.lease.Check(t.clock.Now()); err != nil {
		return err.Error()
	}
	epoch, point := terms(r)
	for _, g := range t.grants.Ranges {
		if g.First <= point && point <= g.Last && g.Epoch == epoch {
			return ""
		}
	}
	return "range is not granted under this epoch"
}

func terms(r *http.Request) (uint64, keyspace.Point) {
	epoch, _ := strconv.ParseUint(r.Header.Get(target.HeaderEpoch), 10, 64)
	point, _ := strconv.ParseUint(r.Header.Get(target.HeaderPoint), 10, 64)
	return epoch, keyspace.Point(point)
}

func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(target.HeaderOutcome, target.OutcomeNotRun)
	http.Error(w, reason, status)
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	<-t.gate()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	default:
		notRun(w, http.StatusServiceUnavailable, "all slots are in use")
		return
	}
	if reason := t.refusal(r); reason != "" {
		notRun(w, http.StatusConflict, reason)
		return
	}
	t.record(r)
	t.run(w, r)
}

func (t *Target) record(r *http.Request) {
	epoch, point := terms(r)
	t.records.add(Record{
		Target:      t.cfg.Name,
		Incarnation: t.incarnation,
		Service:     t.cfg.Service,
		Point:       point,
		Epoch:       epoch,
		BookingKey:  r.Header.Get(target.HeaderKey),
		Begin:       time.Now().UnixNano(),
	})
}

// run does the work of one request. The query fields crash, work_ms and
// status change what happens.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if t.cfg.FailStatus != 0 {
		http.Error(w, "fails always", t.cfg.FailStatus)
		return
	}
	if query.Has("crash") {
		t.crash()
		return
	}
	work := t.cfg.Work
	if ms, err := strconv.Atoi(query.Get("work_ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	wait(r.Context(), work)
	if status, err := strconv.Atoi(query.Get("status")); err == nil {
		http.Error(w, "status asked for", status)
		return
	}
	t.answer(w, r)
}

// Crashed reports whether a request crashed the target.
func (t *Target) Crashed() bool { return t.crashed.Load() }

func (t *Target) crash() {
	t.crashed.Store(true)
	if t.cfg.Crash != nil {
		t.cfg.Crash()
		return
	}
	t.Kill()
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ExitOnCrash ends the process as a crash would.
func ExitOnCrash() { os.Exit(crashStatus) }

const crashStatus = 3
