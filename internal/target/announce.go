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

// AnnouncePath is where a target posts its heartbeats.
const AnnouncePath = "/v1/targets/announce"

// Announcement is a target's heartbeat.
type Announcement struct {
	Name             string `json:"name"`
	Incarnation      string `json:"incarnation"` // new at each start
	Service          string `json:"service"`
	Address          string `json:"address"` // IP:PORT
	AvailabilityZone string `json:"availability_zone"`
	Slots            int    `json:"slots"`       // requests it runs at a time
	Connections      int    `json:"connections"` // connections it accepts
	ChecksFence      bool   `json:"checks_fence"`
	Draining         bool   `json:"draining"`
	Fence            uint64 `json:"fence"` // of the last grants that it accepted
}

// Acknowledgement answers a heartbeat. The target may serve its keys for
// LeaseMS from when it sent the heartbeat.
type Acknowledgement struct {
	Accepted    bool               `json:"accepted"`
	Reason      string             `json:"reason,omitempty"`
	LeaseMS     int64              `json:"lease_ms"`
	HeartbeatMS int64              `json:"heartbeat_ms"`
	Grants      *instance.GrantSet `json:"order,omitempty"`
}

const (
	maxAnnouncement = 64 << 10 // bytes
	announceTimeout = 2 * time.Second
	maxSlots        = 1 << 16
	maxNameBytes    = 128
)

// Fault is one broken rule of an announcement.
type Fault struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Rule  string `json:"rule"`
}

// check returns the announcement's faults.
func (a Announcement) check() []Fault {
	var faults []Fault
	bad := func(field, value, rule string) {
		faults = append(faults, Fault{Field: field, Value: value, Rule: rule})
	}
	names := map[string]string{"name": a.Name, "incarnation": a.Incarnation, "service": a.Service, "availability_zone": a.AvailabilityZone}
	for field, value := range names {
		if value == "" || len(value) > maxNameBytes {
			bad(field, value, fmt.Sprintf("must have 1 to %d bytes", maxNameBytes))
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		bad("address", a.Address, "must be an IP address with a port")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		bad("slots", fmt.Sprint(a.Slots), fmt.Sprintf("must be from 1 to %d", maxSlots))
	}
	if a.Connections < a.Slots {
		bad("connections", fmt.Sprint(a.Connections), "must be at least the slots")
	}
	return faults
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

// Announcer passes heartbeats on to the control leader.
type Announcer func(ctx context.Context, req *instance.AnnounceRequest) (*instance.AnnounceResponse, error)

// Handler returns the HTTP handler for targets.
func Handler(announce Announcer) http.Handler {
	r := chi.NewRouter()
	r.Post(AnnouncePath, func(w http.ResponseWriter, req *http.Request) {
		serveAnnounce(w, req, announce)
	})
	return r
}

func serveAnnounce(w http.ResponseWriter, r *http.Request, announce Announcer) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err := decoder.Decode(&a); err != nil {
		reply(w, http.StatusBadRequest, []Fault{{Field: "body", Rule: err.Error()}})
		return
	}
	if faults := a.check(); len(faults) > 0 {
		reply(w, http.StatusBadRequest, faults)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	res, err := announce(ctx, &instance.AnnounceRequest{Target: a.target(), Fence: a.Fence})
	if err != nil {
		w.Header().Set("Retry-After", "1")
		reply(w, http.StatusServiceUnavailable, []Fault{{Field: "control", Rule: err.Error()}})
		return
	}
	reply(w, http.StatusOK, Acknowledgement{
		Accepted:    res.Accepted,
		Reason:      res.Reason,
		LeaseMS:     res.Lease.Milliseconds(),
		HeartbeatMS: res.Heartbeat.Milliseconds(),
		Grants:      res.Grants,
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
