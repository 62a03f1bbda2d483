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

// deathWindow is how long the broken requests of one target are gathered, so
// that one report names all that were in flight.
const (
	crashWindow        = 5 * time.Millisecond
	probeTimeout       = 50 * time.Millisecond
	crashReportWait    = 100 * time.Millisecond // longest wait of a request for its report
	crashReportTimeout = 2 * time.Second

	crashNoticeTimeout = 200 * time.Millisecond
)

// crashes gathers the requests whose connections broke, by target.
type crashes struct {
	entry *Entry
	mu    sync.Mutex
	open  map[keyspace.Owner]*crash
}

// crash is one report being gathered; done is closed when it is committed or
// given up.
type crash struct {
	fingerprints []string
	taken        bool // control has the report; set before done is closed
	done         chan struct{}
}

// ReportBroken reports a request whose connection broke while it ran, and
// waits a short time until control and this entry's router know of it. Such a
// request may be sent again only where it returns true.
func (e *Entry) ReportBroken(owner keyspace.Owner, fingerprint string) bool {
	wait := time.NewTimer(crashReportWait)
	defer wait.Stop()
	x := e.crashes.add(owner, fingerprint)
	select {
	case <-x.done:
		return x.taken
	case <-wait.C:
		return false
	}
}

func (d *crashes) add(owner keyspace.Owner, fingerprint string) *crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.open[owner]
	if !ok {
		x = &crash{done: make(chan struct{})}
		d.open[owner] = x
		time.AfterFunc(crashWindow, func() { d.report(owner) })
	}
	x.fingerprints = append(x.fingerprints, fingerprint)
	return x
}

func (d *crashes) report(owner keyspace.Owner) {
	d.mu.Lock()
	x := d.open[owner]
	delete(d.open, owner)
	d.mu.Unlock()
	defer close(x.done)
	if !d.entry.crashed(owner) {
		x.taken = true
		return
	}
	d.entry.notify(owner, x.fingerprints)
	x.taken = d.entry.reportCrash(control.CrashReport{Owner: owner, Fingerprints: x.fingerprints})
}

// crashed reports whether the target's process has ended. One that only broke off
// a connection still accepts new ones.
func (e *Entry) crashed(owner keyspace.Owner) bool {
	t, ok := e.View().Targets[owner.Target]
	if !ok || t.Incarnation != owner.Incarnation {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return e.cfg.Refuses(ctx, t.Address)
}

// notify tells this entry's router and all other entries of a crash at once. A
// caller may send its request again through any of them as soon as it has its
// answer, which may be sooner than the next view arrives there.
func (e *Entry) notify(owner keyspace.Owner, fingerprints []string) {
	e.NoticeCrash(owner, fingerprints)
	req := &instance.CrashNoticeRequest{Owner: owner, Fingerprints: fingerprints}
	for _, i := range e.View().Config.Instances {
		if i.Entry && i.Name != e.cfg.Name {
			go e.notifyOne(i.Address, req)
		}
	}
}

func (e *Entry) notifyOne(address string, req *instance.CrashNoticeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), crashNoticeTimeout)
	defer cancel()
	if _, err := instance.Call[instance.CrashNoticeRequest, instance.Empty](ctx, e.cfg.Pool, address, "Notice", req); err != nil {
		e.cfg.Log.Debug("notice of a target's death not taken", "target", req.Owner.Target, "address", address, "error", err)
	}
}

// NoticeCrash takes the notice of a target's crash, from this entry or another one.
func (e *Entry) NoticeCrash(owner keyspace.Owner, fingerprints []string) {
	_ = e.loop.Send(router.CrashNoticed{Owner: owner, Fingerprints: fingerprints, Now: e.cfg.Clock.Now()})
}

// ReportAnswered clears a suspected request that a target answered.
func (e *Entry) ReportAnswered(fingerprint string) {
	if !e.View().Suspected[fingerprint] {
		return
	}
	go e.reportCrash(control.CrashReport{Cleared: []string{fingerprint}})
}

// reportCrash reports to control and tells the router what is suspected now.
func (e *Entry) reportCrash(b control.CrashReport) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	req := &instance.CrashReportRequest{CrashReport: b}
	res, err := instance.CallLeader[instance.CrashReportRequest, instance.CrashReportResponse](ctx, e.control, "Blame", req)
	if err != nil {
		e.cfg.Log.Warn("report of a target's death not taken", "target", b.Owner.Target, "error", err)
		return false
	}
	suspects := router.SuspectsChanged{Blocked: make(map[string]bool), Suspected: make(map[string]bool)}
	for _, s := range res.Suspects {
		suspects.Suspected[s.Fingerprint] = true
		suspects.Blocked[s.Fingerprint] = s.Blocked()
	}
	return e.loop.Send(suspects) == nil
}
