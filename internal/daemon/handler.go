package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// handler answers other instances.
type handler struct{ daemon *Daemon }

var _ instance.Handler = (*handler)(nil)

// role returns the control role, or an error that sends the caller elsewhere.
func (h *handler) role() (*controlRole, error) {
	if h.daemon.control == nil {
		return nil, &instance.NotLeaderError{}
	}
	return h.daemon.control, nil
}

// Deliver hands a message to its group's replica.
func (h *handler) Deliver(e group.Envelope) {
	c, err := h.role()
	if err != nil {
		return
	}
	if g := c.group(e.Group); g != nil {
		g.Receive(e)
	}
}

// atControl runs a call that needs the control role.
func atControl[T any](h *handler, call func(c *controlRole) (*T, error)) (*T, error) {
	c, err := h.role()
	if err != nil {
		return nil, err
	}
	return call(c)
}

// Sync renews an entry's lease.
func (h *handler) Sync(ctx context.Context, req *instance.SyncRequest) (*instance.SyncResponse, error) {
	return atControl(h, func(c *controlRole) (*instance.SyncResponse, error) { return c.controller.Sync(ctx, req) })
}

// Announce takes a target's heartbeat.
func (h *handler) Announce(ctx context.Context, req *instance.AnnounceRequest) (*instance.AnnounceResponse, error) {
	return atControl(h, func(c *controlRole) (*instance.AnnounceResponse, error) { return c.controller.Announce(ctx, req) })
}

// Propose puts a configuration to the vote.
func (h *handler) Propose(ctx context.Context, req *instance.ProposeRequest) (*instance.ChangeResponse, error) {
	return atControl(h, func(c *controlRole) (*instance.ChangeResponse, error) { return c.controller.Propose(ctx, req) })
}

// Vote counts a member's vote.
func (h *handler) Vote(ctx context.Context, req *instance.VoteRequest) (*instance.ChangeResponse, error) {
	return atControl(h, func(c *controlRole) (*instance.ChangeResponse, error) { return c.controller.Vote(ctx, req) })
}

// ReportCrash records what was in flight at a target that crashed.
func (h *handler) ReportCrash(ctx context.Context, req *instance.CrashReportRequest) (*instance.CrashReportResponse, error) {
	return atControl(h, func(c *controlRole) (*instance.CrashReportResponse, error) { return c.controller.ReportCrash(ctx, req) })
}

// NoticeCrash takes another entry's notice of a target's crash.
func (h *handler) NoticeCrash(_ context.Context, req *instance.CrashNoticeRequest) (*instance.Empty, error) {
	if h.daemon.entry != nil {
		h.daemon.entry.NoticeCrash(req.Owner, req.Fingerprints)
	}
	return &instance.Empty{}, nil
}

// Status returns the agreed state and this instance's view of its groups.
func (h *handler) Status(ctx context.Context, _ *instance.StatusRequest) (*instance.StatusResponse, error) {
	c, err := h.role()
	if err != nil {
		return nil, err
	}
	out, err := c.controller.Status(ctx)
	if err != nil {
		return nil, err
	}
	out.Groups = c.statuses(ctx)
	return out, nil
}

func (c *controlRole) statuses(ctx context.Context) map[string]replica.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]replica.Status)
	for name, g := range c.groups {
		if s, err := g.Status(ctx); err == nil {
			out[name] = s
		}
	}
	return out
}

// Booking answers a command for a booking log.
func (h *handler) Booking(ctx context.Context, req *instance.BookingRequest) (*instance.BookingResponse, error) {
	c, err := h.role()
	if err != nil {
		return nil, err
	}
	l := c.bookingLog(req.Group)
	if l == nil {
		return nil, &instance.NotLeaderError{}
	}
	result, err := l.Handle(ctx, req.Command)
	if err != nil {
		return nil, err
	}
	return &instance.BookingResponse{Result: result}, nil
}

// errNoGroup reports a group that has no replica at this instance.
var errNoGroup = errors.New("group is not open here")

// atGroup runs a call that needs a group's replica.
func atGroup[T any](h *handler, name string, call func(g runningGroup) (*T, error)) (*T, error) {
	return atControl(h, func(c *controlRole) (*T, error) {
		g := c.group(name)
		if g == nil {
			return nil, fmt.Errorf("group %q: %w", name, errNoGroup)
		}
		return call(g)
	})
}

// Probe describes this instance's replica of a group.
func (h *handler) Probe(_ context.Context, req *instance.ProbeRequest) (*instance.ProbeResponse, error) {
	return atGroup(h, req.Group, func(g runningGroup) (*instance.ProbeResponse, error) {
		return &instance.ProbeResponse{Self: g.Self(), Formed: g.Formed()}, nil
	})
}

// Form gives a replica without state its group's first membership.
func (h *handler) Form(_ context.Context, req *instance.FormRequest) (*instance.Empty, error) {
	return atGroup(h, req.Group, func(g runningGroup) (*instance.Empty, error) {
		return &instance.Empty{}, g.Form(req.Members)
	})
}

// Join notes a replica that wants to be let into a group.
func (h *handler) Join(_ context.Context, req *instance.JoinRequest) (*instance.Empty, error) {
	c, err := h.role()
	if err != nil {
		return nil, err
	}
	g := c.group(req.Group)
	if g == nil || g.Role().Role != replica.Leader {
		leader := ""
		if g != nil {
			leader = g.LeaderAddress()
		}
		return nil, &instance.NotLeaderError{Leader: leader}
	}
	c.manager(req.Group).Join(req.Member)
	return &instance.Empty{}, nil
}
