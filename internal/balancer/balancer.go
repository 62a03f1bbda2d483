// Package balancer answers the health checks of the platform's load balancer.
package balancer

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
)

// Paths of the health checks. They are served on the address for callers and on the
// one for operators.
const (
	ReadyPath = "/cranberrywind/ready"
	LivePath  = "/cranberrywind/live"
)

// Check answers the health checks of one instance. Liveness always succeeds.
// Readiness fails while the ready function returns an error, and after Withdraw.
type Check struct {
	ready    func() error
	stopping atomic.Bool
}

// New returns a Check that reports the instance as ready while ready returns nil.
func New(ready func() error) *Check { return &Check{ready: ready} }

// Withdraw makes readiness fail from now on, since the instance is stopping.
func (c *Check) Withdraw() { c.stopping.Store(true) }

// state is the body of the response to a readiness check.
type state struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Mount adds the health checks to an HTTP router.
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
