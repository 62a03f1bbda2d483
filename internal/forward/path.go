package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// suspicionWindow is the time within which failures at several targets make an entry
	// check its own path to targets.
	suspicionWindow = time.Second
	// suspiciousTargets is the number of targets that have to fail within it.
	suspiciousTargets = 2
	// minCheckInterval is the least time between two checks while the path is thought to
	// work. Failures of targets themselves must not make entries open many connections.
	minCheckInterval = time.Second
	// The time between two checks while the path is lost grows from minLostInterval to
	// maxLostInterval.
	minLostInterval    = 250 * time.Millisecond
	maxLostInterval    = time.Second
	lostIntervalGrowth = 125 // percent
	// checkedTargets is the number of targets that a check connects to.
	checkedTargets = 6
	// answerWindow is the time within which an answer of any target shows that connections
	// time out because the entry's own link is full.
	answerWindow = time.Second
	// checkTimeout bounds the time for connecting to them.
	checkTimeout = 500 * time.Millisecond
)

// pathMonitor tells whether this entry can open connections to targets. An entry that is
// partitioned from all of them must not take that for their failure. Its methods are safe
// for concurrent use.
type pathMonitor struct {
	ctx     context.Context
	clock   timer.Clock
	log     *log.Logger
	targets func() []deployment.Target // that should be reachable; shared, must not be changed
	dial    func(ctx context.Context, address string) error
	// restored is called after the path was restored.
	restored func()

	mu        sync.Mutex
	answered  atomic.Int64             // instant of the last answer of any target
	failed    map[string]timer.Instant // last failures without an answer, by target ID
	checkedAt timer.Instant
	checking  bool
	lost      bool
	lostSince timer.Instant
	losses    uint64
}

// newPathMonitor returns a monitor that checks the path to targets until ctx ends.
func newPathMonitor(ctx context.Context, clock timer.Clock, logger *log.Logger, targets func() []deployment.Target, restored func()) *pathMonitor {
	return &pathMonitor{
		ctx:       ctx,
		clock:     clock,
		log:       logger,
		targets:   targets,
		dial:      dialTarget,
		restored:  restored,
		failed:    make(map[string]timer.Instant),
		checkedAt: clock.Now().Add(-minCheckInterval),
	}
}

func dialTarget(ctx context.Context, address string) error {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Lost reports whether no connection to a target could be opened at the last check.
func (p *pathMonitor) Lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Losses returns how often the path was lost.
func (p *pathMonitor) Losses() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.losses
}

// RecordAnswer records that a target has answered.
func (p *pathMonitor) RecordAnswer() { p.answered.Store(int64(p.clock.Now())) }

// AnsweredLately reports whether a target has answered within answerWindow.
func (p *pathMonitor) AnsweredLately() bool {
	at := timer.Instant(p.answered.Load())
	return at > 0 && p.clock.Now().Sub(at) < answerWindow
}

// RecordFailure records that a target gave no answer. Failures of several targets start a
// check.
func (p *pathMonitor) RecordFailure(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.failed[target] = now
	recent := 0
	for id, at := range p.failed {
		if now.Sub(at) > suspicionWindow {
			delete(p.failed, id)
			continue
		}
		recent++
	}
	if p.lost || p.checking || recent < min(suspiciousTargets, len(p.targets())) || now.Sub(p.checkedAt) < minCheckInterval {
		return
	}
	p.checking, p.checkedAt = true, now
	go p.checkUntilRestored()
}

// ReachesOthers reports whether a connection to another target than the given one opens now,
// or there is no other.
func (p *pathMonitor) ReachesOthers(id string) bool {
	others := slices.DeleteFunc(slices.Clone(p.targets()), func(t deployment.Target) bool { return t.ID == id })
	opened, _, _ := p.connect(randomTargets(others, checkedTargets))
	return opened > 0 || len(others) == 0
}

// checkUntilRestored checks the path and, while it is lost, checks it again.
func (p *pathMonitor) checkUntilRestored() {
	interval := minLostInterval
	for lost := p.check(); lost && timer.Sleep(p.ctx, interval); {
		lost = p.check()
		interval = min(interval*lostIntervalGrowth/100, maxLostInterval)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
}

// check connects to a sample of the targets and returns whether the path is lost. It is
// lost once no connection opens, unless connections time out while targets answer on others.
// It is restored once half of them open.
func (p *pathMonitor) check() bool {
	sample := randomTargets(p.targets(), checkedTargets)
	opened, timeouts, err := p.connect(sample)
	linkFull := timeouts > 0 && p.AnsweredLately()
	p.mu.Lock()
	wasLost := p.lost
	switch {
	case p.ctx.Err() != nil:
	case len(sample) == 0 || 2*opened >= len(sample):
		p.lost = false
	case opened == 0 && !linkFull:
		p.lost = true
	}
	lost, now := p.lost, p.clock.Now()
	switch {
	case lost && !wasLost:
		p.lostSince = now
		p.losses++
	case !lost && wasLost:
		clear(p.failed)
	}
	since := p.lostSince
	p.mu.Unlock()
	if lost == wasLost {
		return lost
	}
	if lost {
		p.log.Warn("no target can be reached from this instance", "tried", len(sample), "error", err)
	} else {
		p.log.Info("targets can be reached again", "lost_ms", now.Sub(since).Milliseconds())
		p.restored()
	}
	return lost
}

// randomTargets returns up to n of the targets.
func randomTargets(list []deployment.Target, n int) []deployment.Target {
	out := make([]deployment.Target, 0, n)
	for _, i := range rand.Perm(len(list))[:min(len(list), n)] {
		out = append(out, list[i])
	}
	return out
}

// connect returns the number of targets to which a connection opens, the number to which it
// times out, and the error of one to which none opens.
func (p *pathMonitor) connect(targets []deployment.Target) (opened, timeouts int, err error) {
	ctx, cancel := context.WithTimeout(p.ctx, checkTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- p.dial(ctx, t.Address) }()
	}
	for range targets {
		dialErr := <-results
		if dialErr == nil {
			opened++
			continue
		}
		err = dialErr
		if isTimeout(err) {
			timeouts++
		}
	}
	return opened, timeouts, err
}

// isTimeout reports whether a connection was not opened in time, rather than refused.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
