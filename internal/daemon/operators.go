package daemon

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// operatorTry bounds one try of an operator's call at one instance.
const operatorTry = 2 * time.Second

// leader returns a finder of the control leader for operators' calls.
func (d *Daemon) leader() *instance.LeaderClient {
	var addresses []string
	if d.entry != nil {
		for _, i := range d.entry.View().Config.ControlInstances() {
			addresses = append(addresses, i.Address)
		}
	}
	if len(addresses) == 0 {
		for _, p := range d.cfg.Bootstrap {
			addresses = append(addresses, p.Address)
		}
	}
	return instance.NewLeaderClient(d.pool, addresses, operatorTry)
}

// Propose passes a proposal on to the control leader.
func (d *Daemon) Propose(ctx context.Context, req *instance.ProposeRequest) (*instance.ChangeResponse, error) {
	return instance.CallLeader[instance.ProposeRequest, instance.ChangeResponse](ctx, d.leader(), "Propose", req)
}

// Vote passes a vote on to the control leader.
func (d *Daemon) Vote(ctx context.Context, req *instance.VoteRequest) (*instance.ChangeResponse, error) {
	return instance.CallLeader[instance.VoteRequest, instance.ChangeResponse](ctx, d.leader(), "Vote", req)
}

// Status asks the control leader for the agreed state.
func (d *Daemon) Status(ctx context.Context, req *instance.StatusRequest) (*instance.StatusResponse, error) {
	return instance.CallLeader[instance.StatusRequest, instance.StatusResponse](ctx, d.leader(), "Status", req)
}
