package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// handler handles calls from other instances.
type handler struct{ daemon *Daemon }

var _ instance.Handler = (*handler)(nil)

// localControl returns the control role. Without one it returns a NotLeaderError, so that
// the calling instance tries another address.
func (h *handler) localControl() (*controlRole, error) {
	if h.daemon.control == nil {
		return nil, &instance.NotLeaderError{}
	}
	return h.daemon.control, nil
}

// Deliver passes a message to its group's replica. It drops the message if the group
// is not open.
func (h *handler) Deliver(e group.Envelope) {
	c, err := h.localControl()
	if err != nil {
		return
	}
	if g := c.group(e.Group); g != nil {
		g.Receive(e)
	}
}

// withControl calls a function with the control role.
func withControl[T any](h *handler, call func(c *controlRole) (*T, error)) (*T, error) {
	c, err := h.localControl()
	if err != nil {
		return nil, err
	}
	return call(c)
}

// Sync renews an entry's lease and returns the changes of its view.
func (h *handler) Sync(ctx context.Context, req *instance.SyncRequest) (*instance.SyncResponse, error) {
	return withControl(h, func(c *controlRole) (*instance.SyncResponse, error) { return c.controller.Sync(ctx, req) })
}

// Announce records a target's heartbeat and renews its lease.
func (h *handler) Announce(ctx context.Context, req *instance.AnnounceRequest) (*instance.AnnounceResponse, error) {
	return withControl(h, func(c *controlRole) (*instance.AnnounceResponse, error) { return c.controller.Announce(ctx, req) })
}

// Propose proposes a configuration for the members to vote on.
func (h *handler) Propose(ctx context.Context, req *instance.ProposeRequest) (*instance.ChangeResponse, error) {
	return withControl(h, func(c *controlRole) (*instance.ChangeResponse, error) { return c.controller.Propose(ctx, req) })
}

// Vote records a member's vote.
func (h *handler) Vote(ctx context.Context, req *instance.VoteRequest) (*instance.ChangeResponse, error) {
	return withControl(h, func(c *controlRole) (*instance.ChangeResponse, error) { return c.controller.Vote(ctx, req) })
}

// ReportCrash records the requests that were in flight at a target when it crashed.
func (h *handler) ReportCrash(ctx context.Context, req *instance.CrashReportRequest) (*instance.CrashReportResponse, error) {
	return withControl(h, func(c *controlRole) (*instance.CrashReportResponse, error) { return c.controller.ReportCrash(ctx, req) })
}

// NoticeCrash handles a crash notice from another entry.
func (h *handler) NoticeCrash(_ context.Context, req *instance.CrashNoticeRequest) (*instance.Empty, error) {
	if h.daemon.entry != nil {
		h.daemon.entry.NoticeCrash(req.Owner, req.Fingerprints)
	}
	return &instance.Empty{}, nil
}

// Status returns the replicated state and the status of this instance's replicas.
func (h *handler) Status(ctx context.Context, _ *instance.StatusRequest) (*instance.StatusResponse, error) {
	c, err := h.localControl()
	if err != nil {
		return nil, err
	}
	out, err := c.controller.Status(ctx)
	if err != nil {
		return nil, err
	}
	out.Groups = c.groupStatuses(ctx)
	return out, nil
}

func (c *controlRole) groupStatuses(ctx context.Context) map[string]replica.Status {
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

// Booking runs a command on a booking log.
func (h *handler) Booking(ctx context.Context, req *instance.BookingRequest) (*instance.BookingResponse, error) {
	c, err := h.localControl()
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

// errGroupNotOpen reports a group that has no replica on this instance.
var errGroupNotOpen = errors.New("not open on this instance")

// withGroup calls a function with this instance's replica of a group.
func withGroup[T any](h *handler, name string, call func(g runningGroup) (*T, error)) (*T, error) {
	return withControl(h, func(c *controlRole) (*T, error) {
		g := c.group(name)
		if g == nil {
			return nil, fmt.Errorf("group %q: %w", name, errGroupNotOpen)
		}
		return call(g)
	})
}

// Probe describes this instance's replica of a group.
func (h *handler) Probe(_ context.Context, req *instance.ProbeRequest) (*instance.ProbeResponse, error) {
	return withGroup(h, req.Group, func(g runningGroup) (*instance.ProbeResponse, error) {
		return &instance.ProbeResponse{Self: g.Self(), Formed: g.Formed()}, nil
	})
}

// Form sets a group's first membership on a replica without state.
func (h *handler) Form(_ context.Context, req *instance.FormRequest) (*instance.Empty, error) {
	return withGroup(h, req.Group, func(g runningGroup) (*instance.Empty, error) {
		return &instance.Empty{}, g.Form(req.Members)
	})
}

// Join records a replica's request to join a group that this instance leads.
func (h *handler) Join(_ context.Context, req *instance.JoinRequest) (*instance.Empty, error) {
	c, err := h.localControl()
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
