// Package standin implements a small target for tests, examples and the dev and
// standin commands. It announces itself, accepts grants, runs as many requests at a
// time as it has slots, and records each request that it accepts.
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

// Config configures a stand-in target.
type Config struct {
	Name             string
	Service          string
	Kind             string // lookup, booking or download
	Address          string // IP:PORT to listen on; port 0 picks a free one
	AvailabilityZone string
	Slots            int
	Connections      int
	ChecksFence      bool
	Announce         []string      // IP:PORT addresses to announce to, tried in turn
	Work             time.Duration // time spent on each request
	DownloadBytes    int
	RecordPath       string // file to append records to; if empty, they are kept in memory only
	Crash            func() // called when a request asks for a crash; if nil, Kill is
	BreakAfter       int    // if not 0, download bytes after which the connection is aborted
	StallAfter       int    // if not 0, download bytes after which the answer stalls
	FailStatus       int    // if not 0, HTTP status with which every request fails immediately
}

// Record describes one request that a target accepted.
type Record struct {
	Target      string         `json:"target"`
	Incarnation string         `json:"incarnation"`
	Service     string         `json:"service"`
	Point       keyspace.Point `json:"point"`
	Epoch       uint64         `json:"epoch"`
	BookingKey  string         `json:"booking_key,omitempty"`
	Begin       int64          `json:"begin"` // Unix time in nanoseconds
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
	addresses   []string // to announce to, first choice first; used only by announceLoop
	crashed     atomic.Bool

	mu          sync.Mutex
	draining    bool
	grants      instance.GrantSet
	lease       lease.Held
	bookingRuns map[string]int
	thawed      chan struct{} // closed unless the target is frozen
	wake        chan struct{}
}

const (
	defaultHeartbeatInterval = 150 * time.Millisecond
	announceTimeout          = 500 * time.Millisecond
)

// Start starts a target and returns it with a function that stops it.
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
	closed := make(chan struct{})
	close(closed)
	t := &Target{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		clock:       timer.NewSystem(ctx),
		listener:    l,
		cancel:      cancel,
		slots:       make(chan struct{}, max(cfg.Slots, 1)),
		records:     records,
		addresses:   slices.Clone(cfg.Announce),
		bookingRuns: make(map[string]int),
		thawed:      closed,
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

// Address returns the IP:PORT that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Name returns the target's name.
func (t *Target) Name() string { return t.cfg.Name }

// Incarnation returns the ID of the target's incarnation.
func (t *Target) Incarnation() string { return t.incarnation }

// Records returns the requests that the target accepted.
func (t *Target) Records() []Record { return t.records.snapshot() }

// Kill stops the target abruptly, as a crash would.
func (t *Target) Kill() {
	t.cancel()
	_ = t.server.Close()
}

// Drain makes the target announce that it is draining.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.wakeAnnouncer()
}

// Freeze stops heartbeats and the handling of requests until Thaw is called.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.thawed = make(chan struct{})
}

// Thaw resumes what Freeze stopped.
func (t *Target) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.thawed)
}

// thawedChan returns a channel that is closed unless the target is frozen.
func (t *Target) thawedChan() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.thawed
}

func (t *Target) handler() http.Handler {
	r := chi.NewRouter()
	r.Post(target.GrantPath, t.serveGrant)
	r.HandleFunc("/*", t.serveRequest)
	return r
}

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request) {
	<-t.thawedChan()
	var grants instance.GrantSet
	if err := json.NewDecoder(r.Body).Decode(&grants); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	accepted := t.applyGrants(grants)
	t.mu.Unlock()
	if !accepted {
		http.Error(w, "grants are for another incarnation or have an older fence", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shedReason returns why the target must not run a request, or "" if it may: a target
// that checks fences needs a valid lease and a grant of the request's key under the
// request's epoch. Requests without an epoch are not checked.
func (t *Target) shedReason(r *http.Request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.cfg.ChecksFence || r.Header.Get(target.HeaderEpoch) == "" {
		return ""
	}
	if err := t.lease.Check(t.clock.Now()); err != nil {
		return err.Error()
	}
	epoch, point := fenceHeaders(r)
	for _, g := range t.grants.Ranges {
		if g.First <= point && point <= g.Last && g.Epoch == epoch {
			return ""
		}
	}
	return "range is not granted under this epoch"
}

// fenceHeaders returns the epoch and point in a request's headers, 0 for those that are
// missing or invalid.
func fenceHeaders(r *http.Request) (uint64, keyspace.Point) {
	epoch, _ := strconv.ParseUint(r.Header.Get(target.HeaderEpoch), 10, 64)
	point, _ := strconv.ParseUint(r.Header.Get(target.HeaderPoint), 10, 64)
	return epoch, keyspace.Point(point)
}

// shed answers that a request was not run.
func shed(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(target.HeaderOutcome, target.OutcomeNotRun)
	http.Error(w, reason, status)
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	<-t.thawedChan()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	default:
		shed(w, http.StatusServiceUnavailable, "all slots are in use")
		return
	}
	if reason := t.shedReason(r); reason != "" {
		shed(w, http.StatusConflict, reason)
		return
	}
	t.record(r)
	t.run(w, r)
}

func (t *Target) record(r *http.Request) {
	epoch, point := fenceHeaders(r)
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

// run runs one request. Its query parameters may ask for a crash (crash), another
// duration in milliseconds (work_ms) or an error status (status).
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if t.cfg.FailStatus != 0 {
		http.Error(w, "target is configured to fail", t.cfg.FailStatus)
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
	sleep(r.Context(), work)
	if status, err := strconv.Atoi(query.Get("status")); err == nil {
		http.Error(w, "requested status", status)
		return
	}
	t.respond(w, r)
}

// Crashed reports whether a request has crashed the target.
func (t *Target) Crashed() bool { return t.crashed.Load() }

func (t *Target) crash() {
	t.crashed.Store(true)
	if t.cfg.Crash != nil {
		t.cfg.Crash()
		return
	}
	t.Kill()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ExitOnCrash exits the process abruptly, as a crash would. It is meant for Config.Crash.
func ExitOnCrash() { os.Exit(crashExitCode) }

const crashExitCode = 3
