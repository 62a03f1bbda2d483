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

// heardPeriod is the time for which heartbeats are gathered before the leader is
// told: well below the time after which a target counts as silent.
const heardPeriod = 200 * time.Millisecond

// heardLives gathers heartbeats that changed nothing.
type heardLives struct {
	mu    sync.Mutex
	lives map[deployment.Life]bool
}

func (h *heardLives) add(life deployment.Life) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lives == nil {
		h.lives = make(map[deployment.Life]bool)
	}
	h.lives[life] = true
}

func (h *heardLives) take() []deployment.Life {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Collect(maps.Keys(h.lives))
	clear(h.lives)
	return out
}

// tellHeard brings the gathered heartbeats to the leader until ctx ends. Those
// of a call that fails are lost: the targets' next ones follow.
func (c *Control) tellHeard(ctx context.Context) {
	timer.Every(ctx, c.clock, heardPeriod, func() {
		lives := c.heard.take()
		if len(lives) == 0 {
			return
		}
		req := &instance.HeardRequest{Lives: lives}
		if _, err := toLeader[instance.HeardRequest, instance.Empty](ctx, c, "Heard", req, c.Heard); err != nil {
			c.log.Warn("heartbeats not passed on to the leader", "targets", len(lives), "error", err)
		}
	})
}
