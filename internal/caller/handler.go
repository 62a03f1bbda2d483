// Package caller serves callers over HTTP. It checks each request, finds its service
// and key, and by the service's deadline sends the caller either the complete answer
// or an error response that states the outcome. A download that can't be completed is
// aborted.
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/target"
)

// Observer is notified of each response to a caller.
type Observer interface {
	// Observe counts a response. If good is false, it counts as a failure against the
	// service's objective.
	Observe(service string, outcome Outcome, good bool, took time.Duration)
}

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Entry    *entry.Entry
	Client   *target.Client
	Observer Observer
	Log      *log.Logger
	Capacity int // maximum number of requests in flight
}

// Handler serves the requests of callers.
type Handler struct {
	cfg      Config
	inFlight atomic.Int64
	stopping atomic.Bool
}

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Stop makes the handler send "Connection: close" with each response, so that
// callers open a new connection for their next request and a graceful shutdown
// interrupts none.
func (h *Handler) Stop() { h.stopping.Store(true) }

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Routes returns the HTTP handler for callers.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", h.serve)
	return r
}

// call is the state of one caller's request.
type call struct {
	id             string
	service        config.Service
	configVersion  uint64 // of the configuration that matched the service
	request        target.Request
	permitReq      entry.PermitRequest
	failedAttempts int // without those that provably did not run
	started        time.Time
	deadline       time.Time // by which the caller must have a response
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	n := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{id: uuid.NewString(), started: time.Now()}
	w.Header().Set(target.HeaderRequest, c.id)
	if errResp := h.readRequest(w, r, c); errResp != nil {
		h.writeError(w, c, *errResp)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	h.dispatch(ctx, w, c, n > int64(h.cfg.Capacity))
}

func (h *Handler) dispatch(ctx context.Context, w http.ResponseWriter, c *call, full bool) {
	rejection := entry.Rejection{Reason: router.ReasonCapacity, RetryAfter: randomRetryAfter()}
	switch {
	case full && c.service.Kind == config.Booking:
		h.rejectBooking(ctx, w, c, rejection)
	case full:
		h.writeError(w, c, rejected(rejection))
	case c.service.Kind == config.Booking:
		h.book(ctx, w, c)
	case c.service.Kind == config.Download:
		h.download(ctx, w, c)
	default:
		h.lookup(ctx, w, c)
	}
}

// The deadline of a request is earlier than its service's by a margin, so that the
// response arrives in time. The margin is 1/marginDivisor of the service's deadline,
// but at most maxMargin.
const (
	marginDivisor = 20
	maxMargin     = 50 * time.Millisecond
)

// readRequest reads and checks the request and fills the call. It returns an error
// response if the request is invalid.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, c *call) *errorResponse {
	view := h.cfg.Entry.View()
	if view.ConfigVersion == 0 {
		e := withoutConfig(r)
		return &e
	}
	service, ok := view.Config.Match(r.URL.Path)
	if !ok {
		e := invalidRequest(http.StatusNotFound, "path", r.URL.Path, "must begin with the prefix of a service in the accepted configuration")
		return &e
	}
	c.service, c.configVersion = service, view.ConfigVersion
	margin := min(service.Deadline/marginDivisor, maxMargin)
	c.deadline = c.started.Add(service.Deadline - margin)
	if errResp := checkRequest(r, service); errResp != nil {
		return errResp
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(service.MaxBodyBytes)))
	if errResp := bodyError(err, service.MaxBodyBytes); errResp != nil {
		return errResp
	}
	return c.fill(r, body)
}

// withoutConfig returns the response of an entry that has no configuration. Without one
// it can't look up the record of a booking that is sent again and may have run.
func withoutConfig(r *http.Request) errorResponse {
	if len(r.Header.Values(HeaderIdempotencyKey)) > 0 {
		return unknownOutcome(http.StatusServiceUnavailable, string(router.ReasonNoConfig), randomRetryAfter())
	}
	return rejected(entry.Rejection{Reason: router.ReasonNoConfig, RetryAfter: randomRetryAfter()})
}

// bodyError returns the error response to an error of reading the body.
func bodyError(err error, limit int) *errorResponse {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		e := invalidRequest(http.StatusRequestEntityTooLarge, "body", "", sizeRule(limit))
		return &e
	default:
		e := invalidRequest(http.StatusBadRequest, "body", "", "must be complete: "+err.Error())
		return &e
	}
}
