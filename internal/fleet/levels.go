package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// refusalLogPeriod is the time between two log lines about the same refused instance,
// which comes back several times a second.
const refusalLogPeriod = 10 * time.Second

// refusals limits the log lines about refused instances. Its zero value is ready for use.
type refusals struct {
	mu sync.Mutex
	at map[string]timer.Instant // last line, by instance
}

// due reports whether a line about the instance is due, and records it.
func (r *refusals) due(name string, now timer.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.at[name]; ok && now.Sub(at) < refusalLogPeriod {
		return false
	}
	if r.at == nil {
		r.at = make(map[string]timer.Instant)
	}
	r.at[name] = now
	return true
}

// checkLevel returns an error that matches instance.ErrRejected, and logs it, if an
// instance that announces the level does not support the agreed one.
func (c *Control) checkLevel(role, name string, announced uint64) error {
	err := c.State().CheckLevel(announced)
	if err == nil {
		return nil
	}
	if c.refusals.due(role+" "+name, c.clock.Now()) {
		c.log.Error("instance refused", "role", role, "name", name, "error", err)
	}
	return fmt.Errorf("%s %s: %w: %w", role, name, err, instance.ErrRejected)
}

// Deliver passes a message of the group to the replica. It drops those of replicas that
// don't support the agreed feature level, and those at a level that this build does not
// support.
func (c *Control) Deliver(e group.Envelope) {
	name, level := group.ParseName(e.Group)
	if name != groupName {
		return
	}
	g := c.lastReplica().group
	if level > deployment.FeatureLevel {
		if c.refusals.due("group", c.clock.Now()) {
			c.log.Error("messages of a newer feature level dropped; a newer build is needed", "level", level,
				"supported", deployment.FeatureLevel, "from", e.FromAddress)
		}
		return
	}
	if c.checkLevel("replica", string(e.Message.From), e.Level) != nil {
		g.NoteLevel(e.Message.From, e.Level)
		return
	}
	g.Receive(e)
}

// Features returns the feature levels as the leader knows them.
func (c *Control) Features(context.Context, *instance.FeaturesRequest) (*instance.FeaturesResponse, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	res := c.localFeatures()
	if report, ok := c.lastReplica().leader.LevelReport(); ok {
		res.HeldBackBy = append(res.HeldBackBy, report.HeldBackBy...)
	}
	return &res, nil
}

// localFeatures returns what this replica knows of the feature levels.
func (c *Control) localFeatures() instance.FeaturesResponse {
	return instance.FeaturesResponse{
		Agreed:    c.State().FeatureLevel(),
		Supported: deployment.FeatureLevel,
		Leader:    c.lastReplica().group.LeaderAddress(),

		HeldBackBy: []string{},
	}
}

// FeatureLevels returns the feature levels of the deployment. Without a leader that can
// tell who holds the level back, that is given as the reason.
func (c *Control) FeatureLevels(ctx context.Context) instance.FeaturesResponse {
	out := c.localFeatures()
	res, err := callLeader[instance.FeaturesRequest, instance.FeaturesResponse](ctx, c, "Features", &instance.FeaturesRequest{}, c.Features)
	switch {
	case err == nil:
		out.Agreed, out.HeldBackBy = res.Agreed, append(out.HeldBackBy, res.HeldBackBy...)
	case errors.Is(err, deployment.ErrFeatureLevel):
		out.HeldBackBy = []string{fmt.Sprintf("leader %s: announces no feature level", out.Leader)}
	default:
		out.HeldBackBy = []string{fmt.Sprintf("leader %s: %v", out.Leader, err)}
	}
	return out
}

// featureGauge returns the feature levels for the metrics. Only the leader tells who holds
// the level back.
func (c *Control) featureGauge() any {
	out := c.localFeatures()
	if report, ok := c.lastReplica().leader.LevelReport(); ok && c.isLeader() {
		out.HeldBackBy = append(out.HeldBackBy, report.HeldBackBy...)
	}
	return out
}

// unknownRecord reports whether a replica stopped, or was not opened, because a newer build
// is needed. Opening it again would not help.
func unknownRecord(err error) bool {
	return errors.Is(err, deployment.ErrUnknownRecord) || errors.Is(err, group.ErrLevel)
}

// stoppedLogPeriod is the time between two log lines about a replica that stays stopped.
const stoppedLogPeriod = time.Minute

// stayStopped logs, until ctx ends, that the replica has stopped for good. The process goes
// on: its other roles may still serve, and a new start would end in the same way.
func (c *Control) stayStopped(ctx context.Context, err error) {
	for {
		c.log.Error("replica stopped and not reopened: this build does not know a record; install a newer build",
			"supported_level", deployment.FeatureLevel, "error", err)
		if !timer.Sleep(ctx, stoppedLogPeriod) {
			return
		}
	}
}
