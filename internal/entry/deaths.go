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
	deathWindow  = 5 * time.Millisecond
	probeTimeout = 50 * time.Millisecond
	blameWait    = 100 * time.Millisecond // longest wait of a request for its report
	blameTimeout = 2 * time.Second

	noticeTimeout = 200 * time.Millisecond
)

// deaths gathers the requests whose connections broke, by target.
type deaths struct {
	entry *Entry
	mu    sync.Mutex
	open  map[keyspace.Owner]*death
}

// death is one report being gathered; done is closed when it is committed or
// given up.
type death struct {
	fingerprints []string
	taken        bool // control has the report; set before done is closed
	done         chan struct{}
}

// ReportBroken reports a request whose connection broke while it ran, and
// waits a short time until control and this entry's router know of it. Such a
// request may be sent again only where it returns true.
func (e *Entry) ReportBroken(owner keyspace.Owner, fingerprint string) bool {
	wait := time.NewTimer(blameWait)
	defer wait.Stop()
	x := e.deaths.add(owner, fingerprint)
	select {
	case <-x.done:
		return x.taken
	case <-wait.C:
		return false
	}
}

func (d *deaths) add(owner keyspace.Owner, fingerprint string) *death {
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.open[owner]
	if !ok {
		x = &death{done: make(chan struct{})}
		d.open[owner] = x
		time.AfterFunc(deathWindow, func() { d.report(owner) })
	}
	x.fingerprints = append(x.fingerprints, fingerprint)
	return x
}

func (d *deaths) report(owner keyspace.Owner) {
	d.mu.Lock()
	x := d.open[owner]
	delete(d.open, owner)
	d.mu.Unlock()
	defer close(x.done)
	if !d.entry.died(owner) {
		x.taken = true
		return
	}
	d.entry.notify(owner, x.fingerprints)
	x.taken = d.entry.blame(control.Blame{Owner: owner, Fingerprints: x.fingerprints})
}

// died reports whether the target's process has ended. One that only broke off
// a connection still accepts new ones.
func (e *Entry) died(owner keyspace.Owner) bool {
	t, ok := e.View().Targets[owner.Target]
	if !ok || t.Incarnation != owner.Incarnation {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return e.cfg.Refuses(ctx, t.Address)
}

// notify tells this entry's router and all other entries of a death at once. A
// caller may send its request again through any of them as soon as it has its
// answer, which may be sooner than the next view arrives there.
func (e *Entry) notify(owner keyspace.Owner, fingerprints []string) {
	e.Notice(owner, fingerprints)
	req := &instance.NoticeRequest{Owner: owner, Fingerprints: fingerprints}
	for _, i := range e.View().Text.Instances {
		if i.Entry && i.Name != e.cfg.Name {
			go e.notifyOne(i.Address, req)
		}
	}
}

func (e *Entry) notifyOne(address string, req *instance.NoticeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if _, err := instance.Call[instance.NoticeRequest, instance.Empty](ctx, e.cfg.Pool, address, "Notice", req); err != nil {
		e.cfg.Log.Debug("notice of a target's death not taken", "target", req.Owner.Target, "address", address, "error", err)
	}
}

// Notice takes the word on a target's death, from this entry or another one.
func (e *Entry) Notice(owner keyspace.Owner, fingerprints []string) {
	_ = e.loop.Send(router.Noticed{Owner: owner, Fingerprints: fingerprints, Now: e.cfg.Clock.Now()})
}

// ReportAnswered clears a suspected request that a target answered.
func (e *Entry) ReportAnswered(fingerprint string) {
	if !e.View().Suspected[fingerprint] {
		return
	}
	go e.blame(control.Blame{Cleared: []string{fingerprint}})
}

// blame reports to control and tells the router what is suspected now.
func (e *Entry) blame(b control.Blame) bool {
	ctx, cancel := context.WithTimeout(context.Background(), blameTimeout)
	defer cancel()
	req := &instance.BlameRequest{Blame: b}
	res, err := instance.CallLeader[instance.BlameRequest, instance.BlameResponse](ctx, e.control, "Blame", req)
	if err != nil {
		e.cfg.Log.Warn("report of a target's death not taken", "target", b.Owner.Target, "error", err)
		return false
	}
	accused := router.Accused{Held: make(map[string]bool), Suspected: make(map[string]bool)}
	for _, s := range res.Suspects {
		accused.Suspected[s.Fingerprint] = true
		accused.Held[s.Fingerprint] = s.Held()
	}
	return e.loop.Send(accused) == nil
}
