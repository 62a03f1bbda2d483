package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// deathWindow is how long the broken requests of one target are gathered, so
// that one report names all that were in flight.
const (
	deathWindow  = 5 * time.Millisecond
	blameWait    = 100 * time.Millisecond // longest wait of a request for its report
	blameTimeout = 2 * time.Second
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
	done         chan struct{}
}

// ReportBroken reports a request whose connection broke while it ran, and
// waits until control has it or a short time is over.
func (e *Entry) ReportBroken(owner keyspace.Owner, fingerprint string) {
	wait := time.NewTimer(blameWait)
	defer wait.Stop()
	select {
	case <-e.deaths.add(owner, fingerprint):
	case <-wait.C:
	}
}

func (d *deaths) add(owner keyspace.Owner, fingerprint string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.open[owner]
	if !ok {
		x = &death{done: make(chan struct{})}
		d.open[owner] = x
		time.AfterFunc(deathWindow, func() { d.report(owner) })
	}
	x.fingerprints = append(x.fingerprints, fingerprint)
	return x.done
}

func (d *deaths) report(owner keyspace.Owner) {
	d.mu.Lock()
	x := d.open[owner]
	delete(d.open, owner)
	d.mu.Unlock()
	defer close(x.done)
	d.entry.blame(control.Blame{Owner: owner, Fingerprints: x.fingerprints})
}

// ReportAnswered clears a suspected request that a target answered.
func (e *Entry) ReportAnswered(fingerprint string) {
	if !e.View().Suspected[fingerprint] {
		return
	}
	go e.blame(control.Blame{Cleared: []string{fingerprint}})
}

func (e *Entry) blame(b control.Blame) {
	ctx, cancel := context.WithTimeout(context.Background(), blameTimeout)
	defer cancel()
	req := &instance.BlameRequest{Blame: b}
	if _, err := instance.CallLeader[instance.BlameRequest, instance.Empty](ctx, e.control, "Blame", req); err != nil {
		e.cfg.Log.Warn("report of a target's death not taken", "target", b.Owner.Target, "error", err)
	}
}
