// Package operator is the HTTP interface for operators. Proposals and votes
// are its only writes.
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

// Backend is what the interface asks of its instance.
type Backend interface {
	Propose(ctx context.Context, req *instance.ProposeRequest) (*instance.ChangeResponse, error)
	Vote(ctx context.Context, req *instance.VoteRequest) (*instance.ChangeResponse, error)
	Status(ctx context.Context, req *instance.StatusRequest) (*instance.StatusResponse, error)
	Burn() burn.Report
	Metrics() *expvar.Map
}

const (
	callTimeout = 5 * time.Second
	maxBody     = 4 << 20 // bytes of a proposal
)

// Mount adds the operators' routes to a router.
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
	Message string          `json:"error"`
	Change  *control.Change `json:"change,omitempty"`
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, status int, err error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	reply(w, status, Error{Message: err.Error()})
}

// state reads the agreed state through the leader.
func (h handler) state(w http.ResponseWriter, r *http.Request) (control.State, *instance.StatusResponse, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	res, err := h.backend.Status(ctx, &instance.StatusRequest{})
	if err != nil {
		fail(w, http.StatusServiceUnavailable, err)
		return control.State{}, nil, false
	}
	state, err := control.Decode(res.State)
	if err != nil {
		fail(w, http.StatusInternalServerError, err)
		return control.State{}, nil, false
	}
	return state, res, true
}

// ConfigReply is the accepted configuration.
type ConfigReply struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	Source   string `json:"source"`
}

func (h handler) config(w http.ResponseWriter, r *http.Request) {
	if state, _, ok := h.state(w, r); ok {
		accepted, _ := state.Config()
		reply(w, http.StatusOK, configReply(accepted))
	}
}

func configReply(a control.AcceptedConfig) ConfigReply {
	return ConfigReply{Version: a.Version, ChangeID: a.ChangeID, Source: string(a.Source)}
}

func (h handler) history(w http.ResponseWriter, r *http.Request) {
	state, _, ok := h.state(w, r)
	if !ok {
		return
	}
	out := []ConfigReply{}
	for _, a := range state.History() {
		out = append(out, configReply(a))
	}
	reply(w, http.StatusOK, out)
}

// Proposal is the body of a proposal.
type Proposal struct {
	ChangeID    string `json:"change_id"`
	BaseVersion uint64 `json:"base_version"`
	Source      string `json:"source"`
}

func (h handler) propose(w http.ResponseWriter, r *http.Request) {
	var p Proposal
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&p); err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	req := &instance.ProposeRequest{Propose: control.Propose{ChangeID: p.ChangeID, Base: p.BaseVersion, Source: []byte(p.Source)}}
	res, err := h.backend.Propose(ctx, req)
	replyChange(w, res, err)
}

// Vote is the body of a vote; the signature is in base64.
type Vote struct {
	Member    string `json:"member"`
	Yes       bool   `json:"yes"`
	Signature []byte `json:"signature"`
}

func (h handler) vote(w http.ResponseWriter, r *http.Request) {
	var v Vote
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&v); err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	vote := control.Vote{ChangeID: chi.URLParam(r, "id"), Member: v.Member, Yes: v.Yes, Signature: v.Signature}
	res, err := h.backend.Vote(ctx, &instance.VoteRequest{Vote: vote})
	replyChange(w, res, err)
}

func replyChange(w http.ResponseWriter, res *instance.ChangeResponse, err error) {
	if err != nil {
		fail(w, http.StatusServiceUnavailable, err)
		return
	}
	change := res.Result.Change
	switch {
	case res.Result.Reason != "":
		reply(w, http.StatusUnprocessableEntity, Error{Message: res.Result.Reason, Change: &change})
	case change.State == control.ChangeLost:
		reply(w, http.StatusConflict, change)
	default:
		reply(w, http.StatusOK, change)
	}
}

// errNoChange reports a change ID that nobody proposed.
var errNoChange = errors.New("change is not known")

func (h handler) change(w http.ResponseWriter, r *http.Request) {
	state, _, ok := h.state(w, r)
	if !ok {
		return
	}
	change, ok := state.Change(chi.URLParam(r, "id"))
	if !ok {
		fail(w, http.StatusNotFound, errNoChange)
		return
	}
	reply(w, http.StatusOK, change)
}

// StatusReply describes the system as the control leader sees it.
type StatusReply struct {
	Version       uint64                 `json:"version"`
	ConfigVersion uint64                 `json:"text_version"`
	Open          []control.Change       `json:"open_changes"`
	Entries       []instance.EntryStatus `json:"entries"`
	Targets       map[string]int         `json:"targets"` // by status
	Groups        any                    `json:"groups"`
	Suspects      []control.Suspect      `json:"suspects"`
	Balances      []control.Balance      `json:"balances"`
}

func (h handler) status(w http.ResponseWriter, r *http.Request) {
	state, res, ok := h.state(w, r)
	if !ok {
		return
	}
	accepted, _ := state.Config()
	out := StatusReply{
		Version:       state.Version(),
		ConfigVersion: accepted.Version,
		Open:          []control.Change{},
		Entries:       res.Entries,
		Targets:       make(map[string]int),
		Groups:        res.Groups,
		Suspects:      state.Suspects(),
		Balances:      res.Balances,
	}
	for _, p := range state.Open() {
		if c, ok := state.Change(p.ChangeID); ok {
			out.Open = append(out.Open, c)
		}
	}
	for _, t := range state.Targets() {
		out.Targets[string(t.Status)]++
	}
	reply(w, http.StatusOK, out)
}

func (h handler) targets(w http.ResponseWriter, r *http.Request) {
	if state, _, ok := h.state(w, r); ok {
		reply(w, http.StatusOK, state.Targets())
	}
}

// KeyReply tells who owns a key.
type KeyReply struct {
	Service string         `json:"service"`
	Key     string         `json:"key"`
	Point   keyspace.Point `json:"point"`
	Owner   keyspace.Owner `json:"owner"`
	Epoch   uint64         `json:"epoch"`
	Phase   string         `json:"phase"`
}

// errNoTable reports a service that has no keys.
var errNoTable = errors.New("service has no keys or is not in the accepted text")

func (h handler) keys(w http.ResponseWriter, r *http.Request) {
	state, _, ok := h.state(w, r)
	if !ok {
		return
	}
	service, key := r.URL.Query().Get("service"), r.URL.Query().Get("key")
	keys, ok := state.Table(service)
	if !ok {
		fail(w, http.StatusNotFound, errNoTable)
		return
	}
	point := keyspace.PointOf(service + "/" + key)
	owned := keys.Lookup(point)
	reply(w, http.StatusOK, KeyReply{
		Service: service,
		Key:     key,
		Point:   point,
		Owner:   owned.Owner,
		Epoch:   owned.Epoch,
		Phase:   owned.Phase.String(),
	})
}

func (h handler) burn(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, h.backend.Burn())
}

func (h handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(h.backend.Metrics().String()))
}
