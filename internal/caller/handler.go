// Package caller is the HTTP edge towards callers. It checks each request,
// finds its service and key, and sees to it that the caller gets the whole
// answer or one clear outcome by the service's deadline.
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

// Observer is told of each answer given to a caller.
type Observer interface {
	// Observe counts an answer; good says that it met the service's objective.
	Observe(service string, outcome Outcome, good bool, took time.Duration)
}

// Config is what the edge is told at start.
type Config struct {
	Entry    *entry.Entry
	Client   *target.Client
	Observer Observer
	Log      *log.Logger
	Capacity int // requests in flight
}

// Handler serves callers.
type Handler struct {
	cfg      Config
	inFlight atomic.Int64
	stopping atomic.Bool
}

// New returns the edge's handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Stop makes the handler ask callers to open a new connection for their next
// request, so that a planned stop cuts off none.
func (h *Handler) Stop() { h.stopping.Store(true) }

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Routes returns the HTTP handler for callers.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", h.serve)
	return r
}

// call is one caller's request with what the configuration says of it.
type call struct {
	id       string
	service  config.Service
	request  target.Request
	want     entry.PermitRequest
	failed   int // attempts
	started  time.Time
	deadline time.Time // by which the caller must have its answer
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	n := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{id: uuid.NewString(), started: time.Now()}
	w.Header().Set(target.HeaderRequest, c.id)
	if fault := h.read(w, r, c); fault != nil {
		h.fail(w, c, *fault)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	h.dispatch(ctx, w, c, n > int64(h.cfg.Capacity))
}

func (h *Handler) dispatch(ctx context.Context, w http.ResponseWriter, c *call, full bool) {
	capacity := entry.Rejection{Reason: router.ReasonCapacity, RetryAfter: spreadReturn()}
	switch {
	case full && c.service.Kind == config.Booking:
		h.refuseBooking(ctx, w, c, capacity)
	case full:
		h.fail(w, c, refused(capacity))
	case c.service.Kind == config.Booking:
		h.book(ctx, w, c)
	case c.service.Kind == config.Download:
		h.download(ctx, w, c)
	default:
		h.lookup(ctx, w, c)
	}
}

// marginShare is the part of a deadline that is kept back to answer in time.
const (
	marginShare = 20
	maxMargin   = 50 * time.Millisecond
)

// read fills the call from the request, or returns what is wrong with it.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, c *call) *failure {
	view := h.cfg.Entry.View()
	if view.ConfigVersion == 0 {
		f := refused(entry.Rejection{Reason: router.ReasonNoConfig, RetryAfter: spreadReturn()})
		return &f
	}
	service, ok := view.Config.Match(r.URL.Path)
	if !ok {
		f := invalid(http.StatusNotFound, "path", r.URL.Path, "must begin with the prefix of a service in the accepted text")
		return &f
	}
	c.service = service
	margin := min(service.Deadline/marginShare, maxMargin)
	c.deadline = c.started.Add(service.Deadline - margin)
	if fault := checkRequest(r, service); fault != nil {
		return fault
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(service.MaxBody)))
	if fault := bodyFault(err, service.MaxBody); fault != nil {
		return fault
	}
	return c.fill(r, body)
}

func bodyFault(err error, limit int) *failure {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		f := invalid(http.StatusRequestEntityTooLarge, "body", "", sizeRule(limit))
		return &f
	default:
		f := invalid(http.StatusBadRequest, "body", "", "must arrive whole: "+err.Error())
		return &f
	}
}
