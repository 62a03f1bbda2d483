package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// heartbeatBatchPeriod is the time for which heartbeats are gathered before the
// leader is told: well below the time after which a target counts as silent.
const heartbeatBatchPeriod = 200 * time.Millisecond

// heartbeats gathers heartbeats that changed nothing.
type heartbeats struct {
	mu           sync.Mutex
	incarnations map[deployment.Incarnation]bool
}

func (h *heartbeats) add(incarnation deployment.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnations == nil {
		h.incarnations = make(map[deployment.Incarnation]bool)
	}
	h.incarnations[incarnation] = true
}

func (h *heartbeats) take() []deployment.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Collect(maps.Keys(h.incarnations))
	clear(h.incarnations)
	return out
}

// forwardHeartbeats brings the gathered heartbeats to the leader until ctx ends.
// Those of a call that fails are lost: the targets' next ones follow.
func (c *Control) forwardHeartbeats(ctx context.Context) {
	timer.Every(ctx, c.clock, heartbeatBatchPeriod, func() {
		incarnations := c.heartbeats.take()
		if len(incarnations) == 0 {
			return
		}
		req := &instance.HeartbeatsRequest{Incarnations: incarnations}
		if _, err := toLeader[instance.HeartbeatsRequest, instance.Empty](ctx, c, "Heard", req, c.ReportHeartbeats); err != nil {
			c.log.Warn("heartbeats not passed on to the leader", "targets", len(incarnations), "error", err)
		}
	})
}
