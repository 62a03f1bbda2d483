package fleet

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// reportTimeout limits one report to the leader, unless what an answer tells of targets is
// valid for longer: until then a late answer still helps.
const reportTimeout = time.Second

// sendReport sends measurements to the leader and returns its response, or nil if the
// call fails. Those measurements are then lost; the next report follows soon.
func (i *Instance) sendReport(ctx context.Context, leaderClient *instance.LeaderClient, r instance.ReportRequest) *instance.ReportResponse {
	ctx, cancel := context.WithTimeout(ctx, max(reportTimeout, i.follower.TargetBound()))
	defer cancel()
	r.Level = deployment.FeatureLevel
	i.logConfigInForce()
	sentAt := timer.BootTime()
	control := i.follower.View().Control
	if r.Collect && len(control) > 0 {
		address := i.collectors.choose(i.cfg.Name, control)
		if source := i.follower.Source(); source != "" && i.confirmationDue() {
			address = source // it is known to answer
		}
		res, err := instance.Call[instance.ReportRequest, instance.ReportResponse](ctx, i.pool, address, "Report", &r)
		if err == nil && !res.Refused {
			i.collectors.nearby.Learn(address, res.AvailabilityZone)
			i.reports.answered(sentAt, false, res)
			return res
		}
		i.reports.notCollected()
		i.collectors.nearby.Failed(address)
		i.log.Debug("report not collected", "address", address, "error", err)
		i.collectors.failures.Add(1)
		if err == nil {
			// The leader is too busy for a batch of reports, and so for each entry's own.
			return res
		}
	}
	r.Collect = false
	leaderClient.SetAddresses(control)
	res, err := instance.CallLeaderOnce[instance.ReportRequest, instance.ReportResponse](ctx, leaderClient, "Report", &r)
	if err != nil {
		i.reports.failed()
		i.log.Debug("report not delivered to the leader", "error", err)
		return nil
	}
	i.reports.answered(sentAt, true, res)
	return res
}

// confirmationDue reports whether half of the time has passed for which the last confirmation of
// the configuration or of targets is valid.
func (i *Instance) confirmationDue() bool {
	bound := i.follower.TargetBound()
	return i.follower.ConfigConfirmedAge() > i.cfg.ConfigApply/2 || bound > 0 && i.follower.TargetsConfirmedAge() > bound/2
}
