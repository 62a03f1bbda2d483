package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// AnnouncePath is the path to which a target posts its heartbeats.
const AnnouncePath = "/v1/targets/announce"

// Announcement is a target's heartbeat.
type Announcement struct {
	Name             string `json:"name"`
	Incarnation      string `json:"incarnation"` // new at each start
	Service          string `json:"service"`
	Address          string `json:"address"` // IP:PORT
	AvailabilityZone string `json:"availability_zone"`
	Slots            int    `json:"slots"`       // maximum number of concurrent requests
	Connections      int    `json:"connections"` // maximum number of connections
	ChecksFence      bool   `json:"checks_fence"`
	Draining         bool   `json:"draining"`
	Fence            uint64 `json:"fence"` // of the last grants that the target accepted
}

// Acknowledgement is the response to a heartbeat. The target may serve its keys
// until LeaseMS milliseconds after it sent the heartbeat.
type Acknowledgement struct {
	Accepted    bool               `json:"accepted"`
	Reason      string             `json:"reason,omitempty"`
	LeaseMS     int64              `json:"lease_ms"`
	HeartbeatMS int64              `json:"heartbeat_ms"`
	Grants      *instance.GrantSet `json:"order,omitempty"`
}

const (
	maxAnnouncementBytes = 64 << 10
	announceTimeout      = 2 * time.Second
	maxSlots             = 1 << 16
	maxNameBytes         = 128
)

// FieldError describes an invalid field of an announcement and the rule that it
// breaks.
type FieldError struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Rule  string `json:"rule"`
}

// check returns the announcement's invalid fields.
func (a Announcement) check() []FieldError {
	var fieldErrs []FieldError
	add := func(field, value, rule string) {
		fieldErrs = append(fieldErrs, FieldError{Field: field, Value: value, Rule: rule})
	}
	names := map[string]string{"name": a.Name, "incarnation": a.Incarnation, "service": a.Service, "availability_zone": a.AvailabilityZone}
	for field, value := range names {
		if value == "" || len(value) > maxNameBytes {
			add(field, value, fmt.Sprintf("must have 1 to %d bytes", maxNameBytes))
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		add("address", a.Address, "must be an IP address with a port")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		add("slots", fmt.Sprint(a.Slots), fmt.Sprintf("must be from 1 to %d", maxSlots))
	}
	if a.Connections < a.Slots {
		add("connections", fmt.Sprint(a.Connections), "must be at least the slots")
	}
	return fieldErrs
}

func (a Announcement) target() control.Target {
	status := control.TargetLive
	if a.Draining {
		status = control.TargetDraining
	}
	return control.Target{
		Name:             a.Name,
		Incarnation:      a.Incarnation,
		Service:          a.Service,
		Address:          a.Address,
		AvailabilityZone: a.AvailabilityZone,
		Slots:            a.Slots,
		Connections:      a.Connections,
		ChecksFence:      a.ChecksFence,
		Status:           status,
	}
}

// Announcer forwards a heartbeat to the control leader.
type Announcer func(ctx context.Context, req *instance.AnnounceRequest) (*instance.AnnounceResponse, error)

// Handler returns the HTTP handler that receives the heartbeats of targets.
func Handler(announce Announcer) http.Handler {
	r := chi.NewRouter()
	r.Post(AnnouncePath, func(w http.ResponseWriter, req *http.Request) {
		serveAnnounce(w, req, announce)
	})
	return r
}

func serveAnnounce(w http.ResponseWriter, r *http.Request, announce Announcer) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err := decoder.Decode(&a); err != nil {
		writeJSON(w, http.StatusBadRequest, []FieldError{{Field: "body", Rule: err.Error()}})
		return
	}
	if fieldErrs := a.check(); len(fieldErrs) > 0 {
		writeJSON(w, http.StatusBadRequest, fieldErrs)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	res, err := announce(ctx, &instance.AnnounceRequest{Target: a.target(), Fence: a.Fence})
	if err != nil {
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, []FieldError{{Field: "control", Rule: err.Error()}})
		return
	}
	writeJSON(w, http.StatusOK, Acknowledgement{
		Accepted:    res.Accepted,
		Reason:      res.Reason,
		LeaseMS:     res.Lease.Milliseconds(),
		HeartbeatMS: res.Heartbeat.Milliseconds(),
		Grants:      res.Grants,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
