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

// runningGroup is what the daemon needs of any group, whatever its state.
type runningGroup interface {
	membership.Replica
	Receive(e group.Envelope)
	Done() <-chan struct{}
	Err() error
}

// controlRole is the part of an instance that keeps durable state.
type controlRole struct {
	daemon     *Daemon
	timing     Timing
	state      *group.Group[control.State]
	controller *controller.Controller

	mu       sync.Mutex
	groups   map[string]runningGroup
	managers map[string]*membership.Manager
	logs     map[string]*bookinglog.Log
}

func (d *Daemon) startControl(ctx context.Context, timing Timing, granter controller.Granter) error {
	c := &controlRole{
		daemon:   d,
		timing:   timing,
		groups:   make(map[string]runningGroup),
		managers: make(map[string]*membership.Manager),
		logs:     make(map[string]*bookinglog.Log),
	}
	g, stopGroup, err := group.Open(ctx, groupConfig(c, controlGroup, control.State{}, control.Decode))
	if err != nil {
		return err
	}
	d.cleanups.Add(stopGroup)
	c.state = g
	c.controller = controller.New(g, granter, d.clock, timing.Control, d.log)
	d.metrics.root.Set("balance", expvar.Func(func() any { return c.controller.Balances() }))
	c.adopt(ctx, g)
	go c.controller.Run(ctx)
	go c.openBookings(ctx)
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

// adopt looks after a group that was opened. A group that fails ends the
// instance: nobody knows what its disk holds.
func (c *controlRole) adopt(ctx context.Context, g runningGroup) {
	m := membership.New(g, c.daemon.pool, c.daemon.clock, c.daemon.log, c.wanted)
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

// wanted returns the control instances that the accepted configuration names, or
// those of the settings where none is accepted yet.
func (c *controlRole) wanted() []settings.Peer {
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

// openBookings opens the booking logs that the accepted configuration asks for.
func (c *controlRole) openBookings(ctx context.Context) {
	for {
		changed := c.state.Watch()
		_, parsed := c.state.State().State.Config()
		for n := range parsed.Bookings.Groups {
			if err := c.openBooking(ctx, entry.GroupName(n)); err != nil {
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

func (c *controlRole) openBooking(ctx context.Context, name string) error {
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
	c.logs[name] = l
	c.mu.Unlock()
	c.adopt(ctx, g)
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
	return c.logs[name]
}

// handOver gives leadership of all groups to other instances.
func (c *controlRole) handOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.groups {
		if g.Role().Role != replica.Leader {
			continue
		}
		for _, m := range g.Members().Voters {
			if m.ID != g.Self().ID {
				_ = g.Transfer(m.ID)
				break
			}
		}
	}
}
