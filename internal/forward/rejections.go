package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// rejectionCounts counts requests that no target could be chosen for, by service and reason.
type rejectionCounts struct {
	mu     sync.Mutex
	counts map[string]map[string]uint64
}

func (r *rejectionCounts) add(service, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]map[string]uint64)
	}
	if r.counts[service] == nil {
		r.counts[service] = make(map[string]uint64)
	}
	r.counts[service][reason]++
}

// Rejections returns the number of requests that this entry rejected because no target could
// be chosen, by service and reason.
func (s *Server) Rejections() map[string]map[string]uint64 {
	s.rejections.mu.Lock()
	defer s.rejections.mu.Unlock()
	out := make(map[string]map[string]uint64, len(s.rejections.counts))
	for service, reasons := range s.rejections.counts {
		out[service] = maps.Clone(reasons)
	}
	return out
}

// queueAge returns how long ago an answer told this entry of the target's queue, and false if
// none did.
func (ts *targetStates) queueAge(t deployment.Target) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s, ok := ts.byID[t.ID]
	if !ok || s.startMillis != t.StartMillis || s.queueDelayAt == 0 {
		return 0, false
	}
	return ts.clock.Now().Sub(s.queueDelayAt), true
}
