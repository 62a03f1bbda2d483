package fleet

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// collectPeriod is the time between two batches of entries' reports to the leader.
	collectPeriod = 100 * time.Millisecond
	// maxAdviceAge is the age above which a control instance does not pass on the
	// leader's advice, so that entries turn to another one.
	maxAdviceAge = time.Second
	// maxCollected bounds the reports of a batch. Later ones are rejected.
	maxCollected = 10_000
)

// reportCollector collects the reports that entries send to a control instance which is
// not the leader, and keeps the leader's last advice for them.
type reportCollector struct {
	mu        sync.Mutex
	reports   []instance.ReportRequest
	advice    *instance.ReportBatchResponse
	advisedAt timer.Instant
	failed    bool // the last batch was not delivered
	refused   int  // reports refused since a batch was delivered
	// dispatchers is the last list of dispatchers, of the given version. The leader sends it
	// only when it changes.
	dispatchers        []instance.DispatcherZone
	dispatchersVersion uint64
	zoneShares         map[string]advisedShares // by zone of entries
}

// advisedShares are the last shares that the leader sent for the entries of a zone.
type advisedShares struct {
	shares instance.ZoneShares
	at     timer.Instant
}

// add collects a report and returns the advice for its entry. It returns false and drops
// the report if reports can't be delivered to the leader.
func (r *reportCollector) add(report instance.ReportRequest, now timer.Instant) (*instance.ReportResponse, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.advice != nil && now.Sub(r.advisedAt) <= maxAdviceAge
	if len(r.reports) >= maxCollected || r.failed && !recent {
		r.refused++
		return nil, false
	}
	r.reports = append(r.reports, report)
	if !recent {
		return &instance.ReportResponse{NoAdvice: true}, true
	}
	out := r.advice.Advice
	if out.DispatchersVersion == r.dispatchersVersion {
		out.Dispatchers = r.dispatchers
	}
	out = out.WithoutKnownDispatchers(report.DispatchersVersion)
	out.Parts = r.advice.Parts[report.Instance]
	out.ZoneSharesKnown = false
	if s, ok := r.zoneShares[report.Zone]; ok && now.Sub(s.at) <= maxAdviceAge && r.advice.Advice.ZoneSharesKnown {
		out.ZoneSharesKnown, out.ZoneShares = true, s.shares
	}
	return &out, true
}

// take returns the collected reports and empties the collector.
func (r *reportCollector) take() []instance.ReportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.reports
	r.reports = nil
	return out
}

// setDelivered records the leader's advice to the batch of reports.
func (r *reportCollector) setDelivered(reports []instance.ReportRequest, a *instance.ReportBatchResponse, now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Advice.ZoneSharesKnown {
		if r.zoneShares == nil {
			r.zoneShares = make(map[string]advisedShares)
		}
		for _, x := range reports {
			r.zoneShares[x.Zone] = advisedShares{shares: a.ZoneShares[x.Zone], at: now}
		}
	}
	r.advice, r.advisedAt, r.failed, r.refused = a, now, false, 0
	if len(a.Advice.Dispatchers) > 0 {
		r.dispatchers, r.dispatchersVersion = a.Advice.Dispatchers, a.Advice.DispatchersVersion
	}
}

// knownDispatchers returns the version of the list of dispatchers that the collector has, or
// 0 if none of the reports asks for the list.
func (r *reportCollector) knownDispatchers(reports []instance.ReportRequest) uint64 {
	if !slices.ContainsFunc(reports, func(x instance.ReportRequest) bool { return x.DispatchersVersion > 0 }) {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.dispatchersVersion, instance.NoDispatchers)
}

// setFailed records that the last batch was not delivered.
func (r *reportCollector) setFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// hasFailed reports whether the last batch was not delivered.
func (r *reportCollector) hasFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// refusedReports returns the number of reports refused since a batch was delivered.
func (r *reportCollector) refusedReports() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// forwardReports sends the collected reports to the leader in batches until ctx ends. The
// measurements of a batch whose call fails are lost; the next reports follow soon.
func (c *Control) forwardReports(ctx context.Context) {
	timer.Every(ctx, c.clock, collectPeriod, func() {
		reports := c.collector.take()
		if len(reports) == 0 && !c.collector.hasFailed() {
			return
		}
		req := &instance.ReportBatchRequest{Reports: reports, DispatchersVersion: c.collector.knownDispatchers(reports)}
		advice, err := callLeader[instance.ReportBatchRequest, instance.ReportBatchResponse](ctx, c, "ReportBatch", req, c.ReportBatch)
		if err != nil {
			if !c.collector.hasFailed() {
				c.log.Warn("entries' reports not delivered to the leader", "reports", len(reports), "error", err)
			}
			c.collector.setFailed()
			return
		}
		if c.collector.hasFailed() {
			c.log.Info("entries' reports delivered to the leader again", "reports", len(reports), "refused", c.collector.refusedReports())
		}
		c.collector.setDelivered(reports, advice, c.clock.Now())
	})
}

// collectors chooses the control instance to which an entry sends its reports, so that
// entries spread over all of them, or over those of their own availability zone. It moves
// on to the next one after a failure.
type collectors struct {
	nearby   *instance.Nearby // nil to prefer no instance
	failures atomic.Uint32
}

func (c *collectors) choose(entry string, control []string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry)) // never fails
	control = c.nearby.Prefer(control)
	return control[(h.Sum32()+c.failures.Load())%uint32(len(control))]
}
