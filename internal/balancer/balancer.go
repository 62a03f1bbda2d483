// Package balancer answers the health checks of the platform's balancer.
package balancer

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
)

// Paths of the checks, on the callers' and the operators' address.
const (
	ReadyPath = "/cranberrywind/ready"
	LivePath  = "/cranberrywind/live"
)

// Check holds what the balancer is told. Ready asks the given function unless
// the instance is stopping.
type Check struct {
	ready    func() error
	stopping atomic.Bool
}

// New returns a check that is ready while the function returns nil.
func New(ready func() error) *Check { return &Check{ready: ready} }

// Withdraw fails readiness from now on.
func (c *Check) Withdraw() { c.stopping.Store(true) }

// state is the body of an answer.
type state struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Mount adds the checks to a router.
func (c *Check) Mount(r chi.Router) {
	r.Get(LivePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get(ReadyPath, c.serveReady)
}

func (c *Check) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := c.state()
	w.Header().Set("Content-Type", "application/json")
	if !s.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(s)
}

func (c *Check) state() state {
	if c.stopping.Load() {
		return state{Reason: "stopping"}
	}
	if err := c.ready(); err != nil {
		return state{Reason: err.Error()}
	}
	return state{Ready: true}
}
