package fleet

import (
	"context"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/membership"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// reopenPause is the time between two tries to open a replica whose disk failed.
const reopenPause = 500 * time.Millisecond

const groupName = "deployment"

// groupTiming elects a leader within about a second of a loss.
func groupTiming() group.Timing {
	return group.Timing{Tick: 25 * time.Millisecond, ElectionTicks: 16, StartTicks: 5, HeartbeatTicks: 3}
}

// startReplica runs this instance's replica until its clean-up function is
// called. After its disk has
// failed, what the disk holds is read anew before the replica goes on: nobody
// knows what became of the last writes. Meanwhile calls go to the other
// replicas.
func startReplica(ctx context.Context, cfg settings.Routed, targets leader.Targets, pool *instance.Pool, clock timer.Clock, logger *log.Logger) (*Control, func(), error) {
	c := &Control{cfg: cfg, targets: targets, pool: pool, clock: clock, log: logger}
	stop, err := c.start(ctx)
	return c, stop, err
}

// start opens the replica and supervises it until the returned function is
// called.
func (c *Control) start(ctx context.Context) (func(), error) {
	c.seeds.Store(&c.cfg.Seeds)
	stop, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	go c.forwardHeartbeats(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.supervise(ctx, stop)
	}()
	return func() {
		cancel()
		<-ended
	}, nil
}

// supervise opens the replica again whenever it has stopped.
func (c *Control) supervise(ctx context.Context, stop func()) {
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case <-c.replica().group.Done():
		}
		c.log.Error("replica stopped: its disk failed", "error", c.replica().group.Err())
		stop()
		stop = func() {}
		for again := true; again && timer.Sleep(ctx, reopenPause); {
			next, err := c.open(ctx)
			if err != nil {
				c.log.Warn("replica not opened yet", "error", err)
				continue
			}
			c.log.Info("replica opened again", "replica", c.replica().group.Self().ID)
			stop, again = next, false
		}
	}
}

// open starts a replica on what the disk holds.
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
	})
	if err != nil {
		cancel()
		return nil, err
	}
	lead, stopLead := leader.Start(ctx, g, c.targets, c.clock, leader.DefaultTiming(), c.log)
	m := membership.New(g, c.pool, c.clock, c.log, nil).
		WithSeeds(membership.Seeds{Peers: peersOf(*c.seeds.Load()), Bootstrap: c.cfg.Bootstrap})
	go m.Run(ctx)
	c.running.Store(&running{group: g, leader: lead, members: m})
	return func() {
		stopLead()
		stopGroup()
		cancel()
	}, nil
}

// SetSeeds replaces the seeds by which the group is found.
func (c *Control) SetSeeds(seeds []string) {
	c.seeds.Store(&seeds)
	c.replica().members.SetSeeds(peersOf(seeds))
}

func peersOf(addresses []string) []settings.Peer {
	var peers []settings.Peer
	for _, address := range addresses {
		peers = append(peers, settings.Peer{Name: address, Address: address})
	}
	return peers
}
