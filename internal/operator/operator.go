// Package operator implements the HTTP API for operators. Only proposals and votes
// change state.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywind/cranberrywind/internal/burn"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// Backend is the instance that serves the API.
type Backend interface {
	Propose(ctx context.Context, req *instance.ProposeRequest) (*instance.ChangeResponse, error)
	Vote(ctx context.Context, req *instance.VoteRequest) (*instance.ChangeResponse, error)
	Status(ctx context.Context, req *instance.StatusRequest) (*instance.StatusResponse, error)
	Burn() burn.Report
	Metrics() *expvar.Map
}

const (
	callTimeout  = 5 * time.Second
	maxBodyBytes = 4 << 20 // of a proposal or vote
)

// Mount adds the routes of the API to a router.
func Mount(r chi.Router, b Backend) {
	h := handler{backend: b}
	r.Get("/v1/text", h.config)
	r.Get("/v1/text/history", h.history)
	r.Post("/v1/changes", h.propose)
	r.Get("/v1/changes/{id}", h.change)
	r.Post("/v1/changes/{id}/votes", h.vote)
	r.Get("/v1/status", h.status)
	r.Get("/v1/targets", h.targets)
	r.Get("/v1/keys", h.keys)
	r.Get("/v1/burn", h.burn)
	r.Get("/v1/metrics", h.metrics)
}

type handler struct{ backend Backend }

// Error is the JSON body of a failed call.
type Error struct {
	Message string                `json:"error"`
	Change  *control.ChangeRecord `json:"change,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, Error{Message: err.Error()})
}

// readState reads the replicated state from the leader. If that fails, it writes an
// error response and returns false.
func (h handler) readState(w http.ResponseWriter, r *http.Request) (control.State, *instance.StatusResponse, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	res, err := h.backend.Status(ctx, &instance.StatusRequest{})
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return control.State{}, nil, false
	}
	state, err := control.Decode(res.State)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return control.State{}, nil, false
	}
	return state, res, true
}

// ConfigResponse describes an accepted configuration.
type ConfigResponse struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	Source   string `json:"source"`
}

func (h handler) config(w http.ResponseWriter, r *http.Request) {
	if state, _, ok := h.readState(w, r); ok {
		accepted, _ := state.Config()
		writeJSON(w, http.StatusOK, newConfigResponse(accepted))
	}
}

func newConfigResponse(a control.AcceptedConfig) ConfigResponse {
	return ConfigResponse{Version: a.Version, ChangeID: a.ChangeID, Source: string(a.Source)}
}

func (h handler) history(w http.ResponseWriter, r *http.Request) {
	state, _, ok := h.readState(w, r)
	if !ok {
		return
	}
	out := []ConfigResponse{}
	for _, a := range state.History() {
		out = append(out, newConfigResponse(a))
	}
	writeJSON(w, http.StatusOK, out)
}

// Proposal is the JSON body of a proposal.
type Proposal struct {
	ChangeID    string `json:"change_id"`
	BaseVersion uint64 `json:"base_version"`
	Source      string `json:"source"`
}

func (h handler) propose(w http.ResponseWriter, r *http.Request) {
	var p Proposal
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&p); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	req := &instance.ProposeRequest{Propose: control.Propose{ChangeID: p.ChangeID, Base: p.BaseVersion, Source: []byte(p.Source)}}
	res, err := h.backend.Propose(ctx, req)
	writeChange(w, res, err)
}

// Vote is the JSON body of a vote. The signature is in base64.
type Vote struct {
	Member    string `json:"member"`
	Yes       bool   `json:"yes"`
	Signature []byte `json:"signature"`
}

func (h handler) vote(w http.ResponseWriter, r *http.Request) {
	var v Vote
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&v); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	vote := control.Vote{ChangeID: chi.URLParam(r, "id"), Member: v.Member, Yes: v.Yes, Signature: v.Signature}
	res, err := h.backend.Vote(ctx, &instance.VoteRequest{Vote: vote})
	writeChange(w, res, err)
}

func writeChange(w http.ResponseWriter, res *instance.ChangeResponse, err error) {
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	change := res.Result.Change
	switch {
	case res.Result.Reason != "":
		writeJSON(w, http.StatusUnprocessableEntity, Error{Message: res.Result.Reason, Change: &change})
	case change.State == control.ChangeSuperseded:
		writeJSON(w, http.StatusConflict, change)
	default:
		writeJSON(w, http.StatusOK, change)
	}
}

// errUnknownChange reports a change ID that the state has no record of.
var errUnknownChange = errors.New("no record of a change with this ID")

func (h handler) change(w http.ResponseWriter, r *http.Request) {
	state, _, ok := h.readState(w, r)
	if !ok {
		return
	}
	change, ok := state.ChangeRecord(chi.URLParam(r, "id"))
	if !ok {
		writeError(w, http.StatusNotFound, errUnknownChange)
		return
	}
	writeJSON(w, http.StatusOK, change)
}

// StatusResponse describes the system as the control leader sees it.
type StatusResponse struct {
	Version       uint64                 `json:"version"`      // log index of the last change that entries must see
	ConfigVersion uint64                 `json:"text_version"` // of the accepted configuration
	OpenChanges   []control.ChangeRecord `json:"open_changes"`
	Entries       []instance.EntryStatus `json:"entries"`
	Targets       map[string]int         `json:"targets"` // by status
	Groups        any                    `json:"groups"`
	Suspects      []control.Suspect      `json:"suspects"`
	Balances      []control.Balance      `json:"balances"`
}

func (h handler) status(w http.ResponseWriter, r *http.Request) {
	state, res, ok := h.readState(w, r)
	if !ok {
		return
	}
	accepted, _ := state.Config()
	out := StatusResponse{
		Version:       state.Version(),
		ConfigVersion: accepted.Version,
		OpenChanges:   []control.ChangeRecord{},
		Entries:       res.Entries,
		Targets:       make(map[string]int),
		Groups:        res.Groups,
		Suspects:      state.Suspects(),
		Balances:      res.Balances,
	}
	for _, p := range state.Open() {
		if c, ok := state.ChangeRecord(p.ChangeID); ok {
			out.OpenChanges = append(out.OpenChanges, c)
		}
	}
	for _, t := range state.Targets() {
		out.Targets[string(t.Status)]++
	}
	writeJSON(w, http.StatusOK, out)
}

func (h handler) targets(w http.ResponseWriter, r *http.Request) {
	if state, _, ok := h.readState(w, r); ok {
		writeJSON(w, http.StatusOK, state.Targets())
	}
}

// KeyResponse describes the ownership of a key.
type KeyResponse struct {
	Service string         `json:"service"`
	Key     string         `json:"key"`
	Point   keyspace.Point `json:"point"` // position in the key space
	Owner   keyspace.Owner `json:"owner"`
	Epoch   uint64         `json:"epoch"` // epoch and phase of the range that contains the key
	Phase   string         `json:"phase"`
}

// errNotKeyed reports a service without a table of keys.
var errNotKeyed = errors.New("service is not keyed or is not in the accepted configuration")

func (h handler) keys(w http.ResponseWriter, r *http.Request) {
	state, _, ok := h.readState(w, r)
	if !ok {
		return
	}
	service, key := r.URL.Query().Get("service"), r.URL.Query().Get("key")
	keys, ok := state.Table(service)
	if !ok {
		writeError(w, http.StatusNotFound, errNotKeyed)
		return
	}
	point := keyspace.PointOf(service + "/" + key)
	keyRange := keys.Lookup(point)
	writeJSON(w, http.StatusOK, KeyResponse{
		Service: service,
		Key:     key,
		Point:   point,
		Owner:   keyRange.Owner,
		Epoch:   keyRange.Epoch,
		Phase:   keyRange.Phase.String(),
	})
}

func (h handler) burn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Burn())
}

func (h handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(h.backend.Metrics().String()))
}
