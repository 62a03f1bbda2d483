package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// reportLoop sends measurements to the leader until ctx ends, and stores the advice
// that the leader returns.
func (s *Server) reportLoop(ctx context.Context) {
	period, idlePeriod := s.reportPeriods()
	ticks, stop := s.cfg.Clock.Subscribe(period)
	defer stop()
	last := s.cfg.Clock.Now()
	lastSent := last
	inFlight := make(chan struct{}, maxReportsInFlight)
	number := uint64(0)
	var heldUp atomic.Bool // the last report was
	dispatchAddress := ""  // in the last report
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		s.noteColdTargets()
		for _, id := range s.targets.overdue() {
			s.path.RecordFailure(id)
		}
		now := s.cfg.Clock.Now()
		req := s.report(now.Sub(last))
		last = now
		idle := req.DispatchAddress == dispatchAddress && len(req.Keys) == 0 && len(req.Targets) == 0 && len(req.Demand) == 0 && len(req.CrashReports) == 0
		if idle && now.Sub(lastSent) < idlePeriod {
			continue
		}
		lastSent, dispatchAddress = now, req.DispatchAddress
		if heldUp.Load() {
			req.Targets = withoutServiceTimes(req.Targets)
		}
		inFlight <- struct{}{}
		number++
		go func(number uint64) {
			defer func() { <-inFlight }()
			start, sentAt := s.cfg.Clock.Now(), timer.BootTime()
			a := s.cfg.Report(req)
			if a != nil {
				s.cfg.View.ConfirmConfig(a.Config, sentAt)
			}
			if a == nil || a.Refused {
				s.crashes.giveBack(req.CrashReports)
			}
			heldUp.Store(a == nil || s.cfg.Clock.Now().Sub(start) > heldUpReport)
			if a != nil && !a.NoAdvice {
				s.adopt(number, a)
				s.noteAdvised(sentAt)
			}
		}(number)
	}
}

// reportPeriods returns the time between two reports, and between two of an entry that has nothing
// to report. Each answer confirms what the entry knows, which must not run out before the next.
func (s *Server) reportPeriods() (period, idle time.Duration) {
	period, idle = reportInterval, min(idleReportInterval, s.cfg.ConfigApply/maxUnconfirmedReports)
	if bound := s.cfg.View.TargetBound(); s.cfg.TargetDrain > 0 && bound > 0 {
		period, idle = min(period, bound/maxUnconfirmedReports), min(idle, bound/maxUnconfirmedReports)
	}
	return period, idle
}

// report returns the measurements of the interval since the last one.
func (s *Server) report(interval time.Duration) instance.ReportRequest {
	v := s.cfg.View.View()
	req := instance.ReportRequest{
		Instance:     s.cfg.Name,
		Zone:         s.cfg.AvailabilityZone,
		Interval:     interval,
		Keys:         s.keys.take(),
		CrashReports: s.crashes.take(),
		Demand:       s.demand.take(),
		Collect:      s.collected(),
		TargetsKnown: s.cfg.View.TargetsKnown(),
		Targets:      s.targets.report(v.Target),
	}
	if s.cfg.Dispatcher != nil {
		req.DispatchAddress, req.DispatchersVersion = s.cfg.Dispatcher.Address(), s.cfg.Dispatcher.Version()
	}
	switch {
	case s.path.Lost():
		req.Targets = withoutFailures(req.Targets)
	case !s.isDraining():
		req.RelayAddress = s.cfg.RelayAddress
	}
	return req
}

// idleReportInterval is the time between two reports of an entry that has nothing to
// report. They keep it known to the leader, and bring the leader's advice.
const idleReportInterval = time.Second

// maxUnconfirmedReports is the number of reports that an entry with nothing to report sends
// within the time in which its configuration and its targets have to be confirmed.
const maxUnconfirmedReports = 4

// maxReportsInFlight bounds the reports that wait for the leader. One that is held up by a
// full link does not hold up the next: its answer may still tell of targets that have ended.
const maxReportsInFlight = 8

// heldUpReport is the time above which a report was held up by the entry's own link. The
// entry then measures its link, and not how long targets work on requests.
const heldUpReport = 300 * time.Millisecond

// withoutServiceTimes returns the measurements without the targets' service times.
func withoutServiceTimes(loads []instance.TargetLoad) []instance.TargetLoad {
	out := slices.Clone(loads)
	for i := range out {
		out[i].ServiceTime = 0
	}
	return out
}

// withoutFailures returns the measurements without failures, which say nothing of targets
// while the entry's own path to all of them is lost.
func withoutFailures(loads []instance.TargetLoad) []instance.TargetLoad {
	out := slices.Clone(loads)
	for i := range out {
		out[i].Failures = 0
	}
	return out
}

// adopt stores the advice that answers the report with the given number, unless that of a
// later report has come.
func (s *Server) adopt(number uint64, a *instance.ReportResponse) {
	s.adviceMu.Lock()
	defer s.adviceMu.Unlock()
	if number < s.advisedBy {
		return
	}
	s.advisedBy = number
	if before := s.advice.Load(); a.Entries == 0 && before != nil {
		a.Entries = before.Entries
	}
	s.advice.Store(a)
	s.adoptZoneShares(a)
	s.peers.Advise(a.Peers)
	if s.cfg.Dispatcher != nil {
		s.cfg.Dispatcher.Adopt(a)
	}
	s.targets.setFailureShares(a.Failing)
	for _, t := range s.targets.setLeaving(a.Leaving, s.withUnknownEnd) {
		s.logLeaving(t, "advice")
	}
	if a.LimitsKnown {
		s.targets.setLimits(a.Limits, s.cfg.View.View().Target, s.partOf)
	}
}

// withUnknownEnd returns the target with the ID, and false if it is not known or if it is known
// since when it is leaving.
func (s *Server) withUnknownEnd(id string) (deployment.Target, bool) {
	t, ok := s.cfg.View.View().Target(id)
	since, ended := s.cfg.View.TargetEnded(t)
	return t, ok && t.Usable() && (!ended || since < 0)
}

// noteAdvised records that the advice which answers a report sent at the time sentAt of the
// boot clock has come.
func (s *Server) noteAdvised(sentAt time.Duration) {
	for at := int64(sentAt); ; {
		last := s.advisedAt.Load()
		if at <= last || s.advisedAt.CompareAndSwap(last, at) {
			return
		}
	}
}

// AdviceAge returns the time since the report was sent that the leader's advice last answered,
// or -1 if no advice came.
func (s *Server) AdviceAge() time.Duration {
	at := s.advisedAt.Load()
	if at == 0 {
		return -1
	}
	return timer.BootTime() - time.Duration(at)
}

// maxDirectEntries is the largest number of entries that report to the leader itself. More
// of them report to all control instances, so that the leader's calls grow with the number
// of those and not with that of entries.
const maxDirectEntries = 24

// collected reports whether reports go to control instances that pass them on. Until the number
// of entries is known they do: after a restart all entries begin to report at once.
func (s *Server) collected() bool {
	a := s.advice.Load()
	return a == nil || a.Entries == 0 || a.Entries > maxDirectEntries
}

// entryCount returns the number of entries, as last advised by the leader.
func (s *Server) entryCount() int {
	if a := s.advice.Load(); a != nil && a.Entries > 0 {
		return a.Entries
	}
	return defaultEntryCount
}

// partOf returns this entry's part of the requests to a service. Until the leader knows
// it, that is an equal part.
func (s *Server) partOf(service string) float64 {
	if a := s.advice.Load(); a != nil && a.Parts[service] > 0 {
		return a.Parts[service]
	}
	return 1 / float64(s.entryCount()+1)
}

// defaultEntryCount is the assumed number of entries until the leader advises it.
const defaultEntryCount = 10

// keyCounts counts requests by bucket of keys.
type keyCounts struct {
	mu     sync.Mutex
	counts map[keyBucket]uint32
}

// keyBucket identifies a bucket of a service's keys by its first key.
type keyBucket struct {
	service  string
	firstKey deployment.Key
}

func newKeyCounts() *keyCounts { return &keyCounts{counts: make(map[keyBucket]uint32)} }

func (k *keyCounts) add(service string, key deployment.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[keyBucket{service: service, firstKey: key - key%deployment.KeysPerBucket}]++
}

// remove takes back one request that add counted, unless take has returned it since.
func (k *keyCounts) remove(service string, key deployment.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := keyBucket{service: service, firstKey: key - key%deployment.KeysPerBucket}
	if k.counts[b] > 0 {
		k.counts[b]--
	}
}

func (k *keyCounts) take() []instance.KeyLoad {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]instance.KeyLoad, 0, len(k.counts))
	for b, n := range k.counts {
		out = append(out, instance.KeyLoad{Service: b.service, Bucket: b.firstKey, Count: n})
	}
	clear(k.counts)
	return out
}
