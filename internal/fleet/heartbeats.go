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

// heartbeatBatchPeriod is the time between two batches of heartbeats to the leader.
// It is well below the time without heartbeats after which a target counts as silent.
const heartbeatBatchPeriod = 200 * time.Millisecond

// heartbeatBatch collects the senders of heartbeats that changed nothing.
type heartbeatBatch struct {
	mu           sync.Mutex
	incarnations map[deployment.Incarnation]bool
}

func (h *heartbeatBatch) add(incarnation deployment.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnations == nil {
		h.incarnations = make(map[deployment.Incarnation]bool)
	}
	h.incarnations[incarnation] = true
}

// take returns the collected incarnations and empties the batch.
func (h *heartbeatBatch) take() []deployment.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Collect(maps.Keys(h.incarnations))
	clear(h.incarnations)
	return out
}

// forwardHeartbeats sends the collected heartbeats to the leader in batches until ctx
// ends. A batch whose call fails is lost; the targets' next heartbeats follow soon.
func (c *Control) forwardHeartbeats(ctx context.Context) {
	timer.Every(ctx, c.clock, heartbeatBatchPeriod, func() {
		incarnations := c.heartbeatBatch.take()
		if len(incarnations) == 0 {
			return
		}
		req := &instance.HeartbeatsRequest{Incarnations: incarnations}
		if _, err := callLeader[instance.HeartbeatsRequest, instance.Empty](ctx, c, "Heard", req, c.ReportHeartbeats); err != nil {
			c.log.Warn("heartbeats not delivered to the leader", "targets", len(incarnations), "error", err)
		}
	})
}

// InvalidKeys records a heartbeat that was rejected because of keys that can't be read. It is
// logged once for each target.
func (c *Control) InvalidKeys(target string, err error) {
	c.invalidKeyReports.Add(1)
	if _, logged := c.invalidKeysOf.LoadOrStore(target, true); !logged {
		c.log.Warn("heartbeat rejected: keys of the target can't be read", "target", target, "error", err)
	}
}
