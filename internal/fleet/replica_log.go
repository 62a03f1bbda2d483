package fleet

import (
	"context"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// logReplica logs the replica's recovery after its start, and why it ceases to lead, until ctx
// ends or the replica stops.
func logReplica(ctx context.Context, g *group.Group[deployment.State], logger *log.Logger) {
	openedAt, restored := timer.BootTime(), g.State().Index
	recovered, last := false, g.Role()
	for {
		changed := g.Watch()
		if !recovered && g.Recovered() {
			recovered = true
			index := g.State().Index
			logger.Info("replica recovered", "replica", g.Self().ID, "snapshot_index", restored, "index", index, "entries", index-restored,
				"took_ms", (timer.BootTime() - openedAt).Milliseconds())
		}
		role := g.Role()
		if last.Role == replica.Leader && role.Role != replica.Leader {
			load := g.Load()
			logger.Warn("replica stepped down", "replica", g.Self().ID, "reason", stepDownReason(last, role), "led_term", last.Term, "term", role.Term,
				"leader", role.Leader, "queued", load.Queued, "unapplied", load.Unapplied)
		}
		last = role
		select {
		case <-ctx.Done():
			return
		case <-g.Done():
			return
		case <-changed:
		}
	}
}

// stepDownReason returns why the leader of one term has another role now.
func stepDownReason(led, now replica.RoleChanged) string {
	if now.Term == led.Term {
		return "no quorum answered, or the replica is no longer a voter"
	}
	return "another replica began a later term"
}
