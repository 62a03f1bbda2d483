package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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

// rejectedLogPeriod is the least time between two log lines about rejected heartbeats, of which
// another writer may send many.
const rejectedLogPeriod = time.Second

// rejectedHeartbeats counts heartbeats that name no target.
type rejectedHeartbeats struct {
	count atomic.Uint64

	mu       sync.Mutex
	nextLog  timer.Instant // earliest time of the next line
	unlogged int           // since the last line
}

// HeartbeatRejected records a heartbeat, or a withdrawal, that names no target because of err.
func (c *Control) HeartbeatRejected(target string, err error) {
	r := &c.rejectedHeartbeats
	r.count.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := c.clock.Now()
	if now < r.nextLog {
		r.unlogged++
		return
	}
	c.log.Warn("heartbeat rejected", "target", target, "error", err, "others", r.unlogged)
	r.nextLog, r.unlogged = now.Add(rejectedLogPeriod), 0
}
