package daemon

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// operatorCallTimeout limits each attempt of an operator's call to one instance.
const operatorCallTimeout = 2 * time.Second

// leaderClient returns a client of the control leader for operators' calls. It tries
// the control instances of the entry's configuration, or those of the settings.
func (d *Daemon) leaderClient() *instance.LeaderClient {
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
	return instance.NewLeaderClient(d.pool, addresses, operatorCallTimeout)
}

// Propose forwards a proposal to the control leader.
func (d *Daemon) Propose(ctx context.Context, req *instance.ProposeRequest) (*instance.ChangeResponse, error) {
	return instance.CallLeader[instance.ProposeRequest, instance.ChangeResponse](ctx, d.leaderClient(), "Propose", req)
}

// Vote forwards a vote to the control leader.
func (d *Daemon) Vote(ctx context.Context, req *instance.VoteRequest) (*instance.ChangeResponse, error) {
	return instance.CallLeader[instance.VoteRequest, instance.ChangeResponse](ctx, d.leaderClient(), "Vote", req)
}

// Status asks the control leader for the replicated state.
func (d *Daemon) Status(ctx context.Context, req *instance.StatusRequest) (*instance.StatusResponse, error) {
	return instance.CallLeader[instance.StatusRequest, instance.StatusResponse](ctx, d.leaderClient(), "Status", req)
}
