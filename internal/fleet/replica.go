package fleet

import (
	"cmp"
	"context"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/membership"
	"github.com/cranberrywind/cranberrywind/internal/overflow"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// reopenDelay is the time before each attempt to reopen a replica after a disk failure.
const reopenDelay = 500 * time.Millisecond

const groupName = "deployment"

// compactEntries is the most entries between two snapshots, and so about the most that a
// restarted replica applies. group.Compaction bounds their size and their time. The snapshot of a large deployment costs a tenth of the time that
// it takes to apply so many assignments.
const compactEntries = 512

// groupTiming returns the timing of the control group, with which a new leader is
// elected within about a second after the old one fails.
func groupTiming() group.Timing {
	return group.Timing{Tick: 25 * time.Millisecond, ElectionTicks: 16, StartTicks: 5, HeartbeatTicks: 3}
}

// startControl runs this instance's control role until the returned clean-up function is
// called. After a disk failure it is unknown which of the last writes reached the
// disk, so the replica is reopened and reads its state from disk again. Until then
// calls go to the other replicas.
func startControl(ctx context.Context, cfg settings.Routed, targets leader.Targets, pool *instance.Pool, clock timer.Clock, logger *log.Logger) (*Control, func(), error) {
	c := &Control{cfg: cfg, targets: targets, pool: pool, clock: clock, log: logger, announcing: newAnnouncing()}
	c.publisher = view.NewPublisher(c, clock)
	stop, err := c.start(ctx)
	return c, stop, err
}

// start opens the replica and starts forwarding heartbeats. It reopens the replica
// after disk failures, until the returned function is called. A replica that finds a record
// which this build does not know stays stopped.
func (c *Control) start(ctx context.Context) (func(), error) {
	c.seeds.Store(&c.cfg.Seeds)
	stop, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	go c.forwardHeartbeats(ctx)
	go c.forwardReports(ctx)
	go c.confirmConfigs(ctx)
	go c.searchLeader(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.supervise(ctx, stop)
	}()
	return func() {
		cancel()
		<-done
	}, nil
}

// supervise reopens the replica whenever it has stopped, until ctx ends. The function
// stop closes the replica that is open when supervise is called.
func (c *Control) supervise(ctx context.Context, stop func()) {
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case <-c.lastReplica().group.Done():
		}
		err := c.lastReplica().group.Err()
		stop()
		stop = func() {}
		if unknownRecord(err) {
			c.stayStopped(ctx, err)
			return
		}
		c.log.Error("replica stopped after a disk failure", "error", err)
		for retry := true; retry && timer.Sleep(ctx, reopenDelay); {
			next, err := c.open(ctx)
			if unknownRecord(err) {
				c.stayStopped(ctx, err)
				return
			}
			if err != nil {
				c.log.Warn("replica not reopened yet; retrying", "error", err)
				continue
			}
			c.log.Info("replica reopened", "replica", c.lastReplica().group.Self().ID)
			stop, retry = next, false
		}
	}
}

// open opens the replica from the state on disk, and starts the leader and the
// membership manager that use it. It returns the function that closes all three.
func (c *Control) open(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	g, stopGroup, err := group.Open(ctx, group.Config[deployment.State]{
		Name:      groupName,
		Instance:  c.cfg.Address,
		Address:   c.cfg.Address,
		Dir:       filepath.Join(c.cfg.DataDir, groupName),
		Decode:    deployment.Decode,
		Transport: c.pool,
		Clock:     c.clock,
		Timing:    groupTiming(),
		FS:        c.fs,
		Level:     deployment.FeatureLevel,

		Compaction: cmp.Or(c.compaction, group.Compaction{Entries: compactEntries}),
	})
	if err != nil {
		cancel()
		return nil, err
	}
	lead, stopLead := leader.Start(ctx, g, c.targets, c.clock, newModel(c.cfg), c.log)
	m := membership.New(g, c.pool, c.clock, c.log, nil).
		WithSeeds(membership.Seeds{Peers: seedPeers(*c.seeds.Load()), Bootstrap: c.cfg.Bootstrap}).
		WithLevel(deployment.FeatureLevel)
	go m.Run(ctx)
	go logReplica(ctx, g, c.log)
	c.openReplica.Store(&openReplica{group: g, leader: lead, members: m})
	return func() {
		stopLead()
		stopGroup()
		cancel()
	}, nil
}

// newModel returns the leader's model for the way in which targets are granted keys.
func newModel(cfg settings.Routed) *leader.Model {
	timing := leader.DefaultTiming()
	costs := overflow.Costs{Delay: cfg.ZoneDelay, LatePerMegabyte: cfg.ZoneLatePerMB}
	if cfg.Grants == settings.GrantByHeartbeat {
		return leader.NewHeartbeatModel(timing.WithHeartbeat(cfg.Heartbeat, cfg.MaxLease)).WithZoneCosts(costs)
	}
	timing.LeaseDuration, timing.MaxLease = min(timing.LeaseDuration, cfg.MaxLease), cfg.MaxLease
	return leader.NewModel(timing).WithZoneCosts(costs)
}

// SetSeeds replaces the addresses at which the replica looks for its group.
func (c *Control) SetSeeds(seeds []string) {
	c.seeds.Store(&seeds)
	c.lastReplica().members.SetSeeds(seedPeers(seeds))
}

// seedPeers returns the addresses as peers that are named by their address.
func seedPeers(addresses []string) []settings.Peer {
	var peers []settings.Peer
	for _, address := range addresses {
		peers = append(peers, settings.Peer{Name: address, Address: address})
	}
	return peers
}
