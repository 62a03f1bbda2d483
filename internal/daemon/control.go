package daemon

import (
	"context"
	"expvar"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/bookinglog"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/controller"
	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/membership"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

const controlGroup = "control"

// runningGroup holds the methods of group.Group that do not depend on the type of its
// state.
type runningGroup interface {
	membership.Replica
	Receive(e group.Envelope)
	Done() <-chan struct{}
	Err() error
}

// controlRole runs an instance's replicas of the control group and of the booking
// logs, which keep the durable state of the deployment.
type controlRole struct {
	daemon     *Daemon
	timing     Timing
	state      *group.Group[control.State]
	controller *controller.Controller

	mu          sync.Mutex // guards the maps below, which are keyed by group name
	groups      map[string]runningGroup
	managers    map[string]*membership.Manager
	bookingLogs map[string]*bookinglog.Log
}

func (d *Daemon) startControl(ctx context.Context, timing Timing, granter controller.Granter) error {
	c := &controlRole{
		daemon:      d,
		timing:      timing,
		groups:      make(map[string]runningGroup),
		managers:    make(map[string]*membership.Manager),
		bookingLogs: make(map[string]*bookinglog.Log),
	}
	g, stopGroup, err := group.Open(ctx, groupConfig(c, controlGroup, control.State{}, control.Decode))
	if err != nil {
		return err
	}
	d.cleanups.Add(stopGroup)
	c.state = g
	c.controller = controller.New(g, granter, d.clock, timing.Control, d.log)
	d.metrics.root.Set("balance", expvar.Func(func() any { return c.controller.Balances() }))
	c.manageGroup(ctx, g)
	go c.controller.Run(ctx)
	go c.openBookingLogs(ctx)
	d.control = c
	return nil
}

func groupConfig[S any](c *controlRole, name string, empty S, decode func([]byte) (S, error)) group.Config[S] {
	cfg := c.daemon.cfg
	return group.Config[S]{
		Name:      name,
		Instance:  cfg.Name,
		Address:   cfg.Address,
		Dir:       filepath.Join(cfg.DataDir, name),
		Empty:     empty,
		Decode:    decode,
		Transport: c.daemon.pool,
		Clock:     c.daemon.clock,
		Timing:    c.timing.Group,
	}
}

// manageGroup manages the membership of a group that was opened. A failure of the
// group stops the instance, because the content of its disk is then unknown.
func (c *controlRole) manageGroup(ctx context.Context, g runningGroup) {
	m := membership.New(g, c.daemon.pool, c.daemon.clock, c.daemon.log, c.controlPeers)
	c.mu.Lock()
	c.groups[g.Name()] = g
	c.managers[g.Name()] = m
	c.mu.Unlock()
	go m.Run(ctx)
	go func() {
		<-g.Done()
		if err := g.Err(); err != nil {
			c.daemon.fail(fmt.Errorf("group %s: %w", g.Name(), err))
		}
	}()
}

// controlPeers returns the control instances of the accepted configuration, or those
// of the settings if no configuration has been accepted yet.
func (c *controlRole) controlPeers() []settings.Peer {
	accepted, parsed := c.state.State().State.Config()
	if accepted.Version == 0 {
		return c.daemon.cfg.Bootstrap
	}
	var out []settings.Peer
	for _, i := range parsed.ControlInstances() {
		out = append(out, settings.Peer{Name: i.Name, Address: i.Address})
	}
	return out
}

// openBookingLogs opens the booking logs of each accepted configuration until ctx ends
// or a log cannot be opened, which stops the instance.
func (c *controlRole) openBookingLogs(ctx context.Context) {
	for {
		changed := c.state.Watch()
		_, parsed := c.state.State().State.Config()
		for n := range parsed.Bookings.Groups {
			if err := c.openBookingLog(ctx, entry.BookingGroupName(n)); err != nil {
				c.daemon.fail(err)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *controlRole) openBookingLog(ctx context.Context, name string) error {
	if c.group(name) != nil {
		return nil
	}
	g, stopGroup, err := group.Open(ctx, groupConfig(c, name, booking.New(), booking.Decode))
	if err != nil {
		return err
	}
	c.daemon.cleanups.Add(stopGroup)
	l := bookinglog.New(g, c.daemon.clock, c.daemon.log, c.retention)
	c.mu.Lock()
	c.bookingLogs[name] = l
	c.mu.Unlock()
	c.manageGroup(ctx, g)
	go l.Run(ctx)
	return nil
}

func (c *controlRole) retention() time.Duration {
	_, parsed := c.state.State().State.Config()
	return parsed.Bookings.Retention
}

func (c *controlRole) group(name string) runningGroup {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[name]
}

func (c *controlRole) manager(name string) *membership.Manager {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.managers[name]
}

func (c *controlRole) bookingLog(name string) *bookinglog.Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bookingLogs[name]
}

// transferLeadership transfers the leadership of each group that this instance leads
// to another voter.
func (c *controlRole) transferLeadership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.groups {
		if g.Role().Role != replica.Leader {
			continue
		}
		for _, member := range g.Members().Voters {
			if member.ID != g.Self().ID {
				_ = g.Transfer(member.ID)
				break
			}
		}
	}
}
