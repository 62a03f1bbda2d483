package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/membership"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Control is an instance's part in the control group. It answers other
// instances, and the platform's adapter on behalf of operators and targets.
type Control struct {
	cfg        settings.Routed
	targets    leader.Targets
	pool       *instance.Pool
	clock      timer.Clock
	log        *log.Logger
	heartbeats heartbeats
	running    atomic.Pointer[running]
	fs         disk.FS // nil for the operating system's
	seeds      atomic.Pointer[[]string]
}

// running is a replica with what works on it. Another one takes its place after
// its disk has failed.
type running struct {
	group   *group.Group[deployment.State]
	leader  *leader.Leader
	members *membership.Manager
}

var (
	_ instance.DeploymentHandler = (*Control)(nil)
	_ view.Source                = (*Control)(nil)
)

// ErrUnavailable reports that the group could not decide in time; the request
// may take effect later.
var ErrUnavailable = errors.New("control group is not available")

const (
	// tryTimeout bounds one call of the leader, allTimeout all of them.
	tryTimeout = 700 * time.Millisecond
	allTimeout = 900 * time.Millisecond
)

// replica returns the replica that runs now, or the last one that did: its state
// can still be read, and its group refuses all else.
func (c *Control) replica() *running { return c.running.Load() }

// SubmitChange takes an operator's change to the leader.
func (c *Control) SubmitChange(ctx context.Context, o deployment.ConfigChange) (deployment.Result, error) {
	res, err := toLeader[instance.ConfigChangeRequest, instance.ConfigChangeResponse](ctx, c, "Change", &instance.ConfigChangeRequest{Change: o}, c.ChangeConfig)
	if err != nil {
		return deployment.Result{}, err
	}
	return res.Result, nil
}

// Announce takes a target's heartbeat and returns once what changed is committed.
// One that changes nothing is only counted, and the leader told of it soon.
func (c *Control) Announce(ctx context.Context, t deployment.Target) error {
	old, known := c.State().Target(t.ID)
	if known && c.Current() && !differs(t, old) {
		if t.StartMillis == old.StartMillis && t.Sequence > old.Sequence && old.Status != deployment.Left {
			c.heartbeats.add(deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis})
		}
		return nil
	}
	_, err := toLeader[instance.AnnounceTargetRequest, instance.AnnounceTargetResponse](ctx, c, "Announced", &instance.AnnounceTargetRequest{Target: t}, c.AnnounceTarget)
	return err
}

// Withdraw takes a target's goodbye to the leader.
func (c *Control) Withdraw(ctx context.Context, id string, startMillis int64) error {
	req := &instance.AnnounceTargetRequest{Target: deployment.Target{ID: id, StartMillis: startMillis}, Leaves: true}
	_, err := toLeader[instance.AnnounceTargetRequest, instance.AnnounceTargetResponse](ctx, c, "Announced", req, c.AnnounceTarget)
	return err
}

// Document returns a configuration that covers everything acknowledged before
// the call, and whether there is one.
func (c *Control) Document(ctx context.Context) (deployment.Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, allTimeout)
	defer cancel()
	res, err := toLeader[instance.BarrierRequest, instance.BarrierResponse](ctx, c, "Barrier", &instance.BarrierRequest{}, c.Barrier)
	if err != nil {
		return deployment.Document{}, false, err
	}
	for {
		changed := c.replica().group.Watch()
		applied := c.replica().group.State()
		if applied.Index >= res.Index {
			doc, index := applied.State.Document()
			return doc, index > 0, nil
		}
		select {
		case <-ctx.Done():
			return deployment.Document{}, false, fmt.Errorf("%w: state is at index %d, not yet at %d", ErrUnavailable, applied.Index, res.Index)
		case <-changed:
		}
	}
}

// toLeader calls this instance where it leads, else the leader it knows of.
func toLeader[Req, Res any](ctx context.Context, c *Control, method string, req *Req, local func(context.Context, *Req) (*Res, error)) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, allTimeout)
	defer cancel()
	for {
		var res *Res
		var err error
		if c.leads() {
			res, err = local(ctx, req)
		} else {
			res, err = callLeader[Req, Res](ctx, c, method, req)
		}
		if err == nil || !errors.Is(err, replica.ErrNotLeader) && !errors.Is(err, group.ErrNotCommitted) {
			return res, wrap(err)
		}
		if !timer.Sleep(ctx, 20*time.Millisecond) {
			return nil, wrap(err)
		}
	}
}

func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func callLeader[Req, Res any](ctx context.Context, c *Control, method string, req *Req) (*Res, error) {
	address := c.replica().group.LeaderAddress()
	if address == "" {
		return nil, &instance.NotLeaderError{}
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return instance.Call[Req, Res](ctx, c.pool, address, method, req)
}

// notLeader names the leader to another instance.
func (c *Control) notLeader() error {
	return &instance.NotLeaderError{Leader: c.replica().group.LeaderAddress()}
}

// leads reports whether this replica runs and leads.
func (c *Control) leads() bool {
	return !c.stopped() && c.replica().group.Role().Role == replica.Leader
}

// stopped reports whether the replica has ended, by a failed disk.
func (c *Control) stopped() bool {
	select {
	case <-c.replica().group.Done():
		return true
	default:
		return false
	}
}

// ChangeConfig commits an operator's change of the configuration.
func (c *Control) ChangeConfig(ctx context.Context, req *instance.ConfigChangeRequest) (*instance.ConfigChangeResponse, error) {
	if !c.leads() {
		return nil, c.notLeader()
	}
	result, err := c.propose(ctx, deployment.Command{ConfigChange: &req.Change})
	if err != nil {
		c.log.Warn("order not decided", "version", req.Change.Version, "base", req.Change.Base, "error", err)
		return nil, err
	}
	c.log.Info("order decided", "version", req.Change.Version, "base", req.Change.Base, "whole", req.Change.Whole,
		"outcome", result.Outcome, "in_force", result.Version, "reason", result.Reason)
	return &instance.ConfigChangeResponse{Result: result}, nil
}

func (c *Control) propose(ctx context.Context, command deployment.Command) (deployment.Result, error) {
	committed, err := c.replica().group.Propose(ctx, wire.Encode(command))
	if err != nil {
		return deployment.Result{}, err
	}
	var result deployment.Result
	return result, wire.Decode(committed.Value, &result)
}

// AnnounceTarget takes what a target said of itself. Only what changed is committed;
// a mere heartbeat is noted by the leader.
func (c *Control) AnnounceTarget(ctx context.Context, req *instance.AnnounceTargetRequest) (*instance.AnnounceTargetResponse, error) {
	if !c.leads() {
		return nil, c.notLeader()
	}
	t := req.Target
	incarnation := deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis}
	old, known := c.replica().group.State().State.Target(t.ID)
	switch {
	case req.Leaves:
		if !known || old.Status == deployment.Left {
			break
		}
		if incarnation.StartMillis == 0 {
			incarnation.StartMillis = old.StartMillis
		}
		if _, err := c.propose(ctx, deployment.Command{Withdraw: &incarnation}); err != nil {
			return nil, err
		}
		c.log.Info("target withdrew", "target", t.ID, "service", old.Service, "address", old.Address)
	case !known || differs(t, old):
		if _, err := c.propose(ctx, deployment.Command{Announce: &t}); err != nil {
			return nil, err
		}
		now, _ := c.replica().group.State().State.Target(t.ID)
		c.log.Info("target announced", "target", t.ID, "born", t.StartMillis, "service", t.Service, "address", t.Address,
			"status", t.Status, "sequence", t.Sequence, "taken", now.StartMillis == t.StartMillis && now.Sequence == t.Sequence)
		c.replica().leader.HeartbeatReceived(incarnation)
	case t.Sequence > old.Sequence && old.Status != deployment.Left:
		c.replica().leader.HeartbeatReceived(incarnation)
	}
	return &instance.AnnounceTargetResponse{}, nil
}

// differs reports whether an announcement says something new of a target. Late
// ones of the same or an earlier incarnation do not.
func differs(t, old deployment.Target) bool {
	if t.StartMillis != old.StartMillis {
		return t.StartMillis > old.StartMillis
	}
	if old.Status == deployment.Left || t.Sequence <= old.Sequence {
		return false
	}
	return t.Status != old.Status || t.Address != old.Address || t.Service != old.Service || t.Slots != old.Slots
}

// Barrier returns an index that covers everything acknowledged before the call.
func (c *Control) Barrier(ctx context.Context, _ *instance.BarrierRequest) (*instance.BarrierResponse, error) {
	if !c.leads() {
		return nil, c.notLeader()
	}
	applied, err := c.replica().group.Barrier(ctx)
	if err != nil {
		return nil, err
	}
	return &instance.BarrierResponse{Index: applied.Index}, nil
}

// Report takes an entry's measurements.
func (c *Control) Report(_ context.Context, req *instance.ReportRequest) (*instance.ReportResponse, error) {
	if !c.leads() {
		return nil, c.notLeader()
	}
	res := c.replica().leader.Report(*req)
	return &res, nil
}

// ReportHeartbeats takes heartbeats that other control instances counted.
func (c *Control) ReportHeartbeats(_ context.Context, req *instance.HeartbeatsRequest) (*instance.Empty, error) {
	if !c.leads() {
		return nil, c.notLeader()
	}
	for _, incarnation := range req.Incarnations {
		c.replica().leader.HeartbeatReceived(incarnation)
	}
	return &instance.Empty{}, nil
}

// Watch streams the view to an entry.
func (c *Control) Watch(ctx context.Context, req *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	c.log.Info("entry watches", "entry", req.Instance, "view_version", req.Version)
	return view.Publish(ctx, c, c.clock, req, send)
}

// State returns the state as far as it is applied here.
func (c *Control) State() deployment.State { return c.replica().group.State().State }

// Changed returns a channel that is closed at the next change.
func (c *Control) Changed() <-chan struct{} { return c.replica().group.Watch() }

// Current reports whether this replica leads or hears its leader.
func (c *Control) Current() bool {
	return !c.stopped() && c.replica().group.Role().Leader != ""
}

// Control returns the addresses of the control instances.
func (c *Control) Control() []string {
	var out []string
	for _, m := range c.replica().group.Members().All() {
		out = append(out, m.Address)
	}
	if len(out) == 0 {
		return *c.seeds.Load()
	}
	return out
}

// Deliver hands a message to the replica.
func (c *Control) Deliver(e group.Envelope) {
	if e.Group == groupName {
		c.replica().group.Receive(e)
	}
}

// Probe describes the replica.
func (c *Control) Probe(context.Context, *instance.ProbeRequest) (*instance.ProbeResponse, error) {
	return &instance.ProbeResponse{Self: c.replica().group.Self(), Formed: c.replica().group.Formed()}, nil
}

// Form gives the replica its group's first membership.
func (c *Control) Form(_ context.Context, req *instance.FormRequest) (*instance.Empty, error) {
	return &instance.Empty{}, c.replica().group.Form(req.Members)
}

// Join notes a replica that wants to be let in.
func (c *Control) Join(_ context.Context, req *instance.JoinRequest) (*instance.Empty, error) {
	if !c.leads() {
		return nil, c.notLeader()
	}
	c.replica().members.Join(req.Member)
	return &instance.Empty{}, nil
}

const (
	handOverWait = 600 * time.Millisecond // about one election timeout
	handOverPoll = 10 * time.Millisecond
)

// handOver gives leadership to the voter that holds most of the log.
func (c *Control) handOver(ctx context.Context) {
	if !c.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverWait)
	defer cancel()
	status, err := c.replica().group.Status(ctx)
	if err != nil {
		c.log.Warn("leadership not handed over", "error", err)
		return
	}
	best := replica.PeerStatus{}
	for _, v := range status.Members.Voters {
		if p := status.Peer(v.ID); v.ID != status.ID && p.Alive && p.Match >= best.Match {
			best = p
		}
	}
	if best.ID == "" {
		return
	}
	if err := c.replica().group.Transfer(best.ID); err != nil {
		c.log.Warn("leadership not handed over", "to", best.ID, "error", err)
		return
	}
	for c.leads() {
		if !timer.Sleep(ctx, handOverPoll) {
			break
		}
	}
	c.log.Info("leadership handed over", "to", best.ID, "leads", c.leads())
}
