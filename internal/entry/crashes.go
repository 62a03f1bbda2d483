package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

const (
	// crashBatchWindow is the time for which the broken requests of one target are
	// collected, so that one report contains all that were in flight.
	crashBatchWindow   = 5 * time.Millisecond
	probeTimeout       = 50 * time.Millisecond
	maxCrashReportWait = 100 * time.Millisecond // longest time that a request waits for its report
	crashReportTimeout = 2 * time.Second

	crashNoticeTimeout = 200 * time.Millisecond
)

// crashReporter collects the requests whose connections broke, by target, and reports
// them to control.
type crashReporter struct {
	entry   *Entry
	mu      sync.Mutex
	pending map[keyspace.Owner]*pendingReport
}

// pendingReport is a crash report that is being collected or sent. The channel done is
// closed once the report is committed, has failed or is not needed.
type pendingReport struct {
	fingerprints []string
	mayRetry     bool // no crash, or control and the router know of it; set before done is closed
	done         chan struct{}
}

// ReportBroken reports a request whose connection broke while it ran, and waits at most
// maxCrashReportWait until control and this entry's router know of it. The request may
// be sent again only if ReportBroken returns true.
func (e *Entry) ReportBroken(owner keyspace.Owner, fingerprint string) bool {
	wait := time.NewTimer(maxCrashReportWait)
	defer wait.Stop()
	p := e.crashReporter.add(owner, fingerprint)
	select {
	case <-p.done:
		return p.mayRetry
	case <-wait.C:
		return false
	}
}

// add adds a request to its target's pending report, and creates the report if there
// is none.
func (r *crashReporter) add(owner keyspace.Owner, fingerprint string) *pendingReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pending[owner]
	if !ok {
		p = &pendingReport{done: make(chan struct{})}
		r.pending[owner] = p
		time.AfterFunc(crashBatchWindow, func() { r.send(owner) })
	}
	p.fingerprints = append(p.fingerprints, fingerprint)
	return p
}

// send ends the collection of a target's report. If the target crashed, it sends the
// report to control and crash notices to the entries.
func (r *crashReporter) send(owner keyspace.Owner) {
	r.mu.Lock()
	p := r.pending[owner]
	delete(r.pending, owner)
	r.mu.Unlock()
	defer close(p.done)
	if !r.entry.hasCrashed(owner) {
		p.mayRetry = true
		return
	}
	r.entry.sendCrashNotices(owner, p.fingerprints)
	p.mayRetry = r.entry.reportCrash(control.CrashReport{Incarnation: owner, Fingerprints: p.fingerprints})
}

// hasCrashed reports whether the target's process has ended: it is not in the view, has
// another incarnation there, or refuses connections. A target that only closed one
// connection still accepts new ones.
func (e *Entry) hasCrashed(owner keyspace.Owner) bool {
	t, ok := e.View().Targets[owner.Target]
	if !ok || t.Incarnation != owner.Incarnation {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return e.cfg.ConnRefused(ctx, t.Address)
}

// sendCrashNotices notifies this entry's router and all other entries of a crash at
// once. A caller may send its request again through any entry as soon as it has a
// response, possibly before the next view arrives at that entry.
func (e *Entry) sendCrashNotices(owner keyspace.Owner, fingerprints []string) {
	e.NoticeCrash(owner, fingerprints)
	req := &instance.CrashNoticeRequest{Owner: owner, Fingerprints: fingerprints}
	for _, i := range e.View().Config.Instances {
		if i.Entry && i.Name != e.cfg.Name {
			go e.sendCrashNotice(i.Address, req)
		}
	}
}

func (e *Entry) sendCrashNotice(address string, req *instance.CrashNoticeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), crashNoticeTimeout)
	defer cancel()
	if _, err := instance.Call[instance.CrashNoticeRequest, instance.Empty](ctx, e.cfg.Pool, address, "Notice", req); err != nil {
		e.cfg.Log.Debug("crash notice not delivered", "target", req.Owner.Target, "address", address, "error", err)
	}
}

// NoticeCrash passes a crash notice, from this entry or another one, to the router.
func (e *Entry) NoticeCrash(owner keyspace.Owner, fingerprints []string) {
	_ = e.loop.Send(router.CrashNoticed{Owner: owner, Fingerprints: fingerprints, Now: e.cfg.Clock.Now()})
}

// ReportAnswered asks control to clear a request that a target answered, if the request
// is suspected.
func (e *Entry) ReportAnswered(fingerprint string) {
	if !e.View().Suspected[fingerprint] {
		return
	}
	go e.reportCrash(control.CrashReport{Cleared: []string{fingerprint}})
}

// reportCrash sends a report to control and passes the resulting suspects to the router.
// It returns whether both succeeded.
func (e *Entry) reportCrash(report control.CrashReport) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	req := &instance.CrashReportRequest{CrashReport: report}
	res, err := instance.CallLeader[instance.CrashReportRequest, instance.CrashReportResponse](ctx, e.control, "Blame", req)
	if err != nil {
		e.cfg.Log.Warn("crash report not accepted", "target", report.Incarnation.Target, "error", err)
		return false
	}
	suspects := router.SuspectsAdded{Blocked: make(map[string]bool), Suspected: make(map[string]bool)}
	for _, s := range res.Suspects {
		suspects.Suspected[s.Fingerprint] = true
		suspects.Blocked[s.Fingerprint] = s.Blocked()
	}
	return e.loop.Send(suspects) == nil
}
