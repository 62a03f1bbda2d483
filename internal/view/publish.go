package view

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Source is the control replica whose state is published.
type Source interface {
	State() deployment.State
	// Changed returns a channel that is closed when the state changes next.
	Changed() <-chan struct{}
	// Current reports whether the replica leads or receives its leader's heartbeats.
	Current() bool
	// Recovered reports whether the state includes all that was committed when the replica
	// heard of its leader after its start.
	Recovered() bool
	// ControlAddresses returns the addresses of the control instances.
	ControlAddresses() []string
}

const (
	// pingPeriod is the longest time between two updates of a stream.
	pingPeriod = 250 * time.Millisecond
	// Changes are collected into one update for minBatchDelay, and for batchDelayPerTarget
	// more for each target: they come in proportion to the number of targets, and each
	// update is sent to every entry.
	minBatchDelay       = 5 * time.Millisecond
	batchDelayPerTarget = 20 * time.Microsecond
)

// batchDelay returns the time for which changes are collected into one update.
func batchDelay(targets int) time.Duration {
	return min(minBatchDelay+time.Duration(targets)*batchDelayPerTarget, pingPeriod)
}

// Publisher publishes a replica's state to entries. Its methods are safe for concurrent
// use.
type Publisher struct {
	source Source
	clock  timer.Clock
	packer *packer
	deltas deltaCache
}

// NewPublisher returns a publisher of the source's state.
func NewPublisher(source Source, clock timer.Clock) *Publisher {
	return &Publisher{source: source, clock: clock, packer: newPacker()}
}

// Load counts the updates that the publisher sent.
func (p *Publisher) Load() PublisherLoad { return p.deltas.read() }

// Publish sends an entry the changes since its view, and then an update after each
// batch of changes and in each ping period, until send fails or ctx ends. It returns
// the error of send or ctx. It sends nothing before the replica has recovered: outdated
// configurations would fill the entry's link. An entry without a view begins to serve with the
// first one, which therefore has to be current.
func (p *Publisher) Publish(ctx context.Context, have *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	pings, stop := p.clock.Subscribe(pingPeriod)
	defer stop()
	var sent *deployment.State
	for {
		changed := p.source.Changed()
		ready := p.source.Recovered() && (sent != nil || have.Version > 0 || p.source.Current())
		if !ready {
			if !awaitSignal(ctx, changed, pings) {
				return ctx.Err()
			}
			continue
		}
		state := p.source.State()
		if err := p.sendUpdate(have, sent, state, send); err != nil {
			return err
		}
		// Delta finds removed routes, services and targets by comparison with the
		// sent state. If that were older than the entry's view, it could lack some
		// that the entry has, and their removal would be missed. A replica that is
		// reopened after a disk failure starts with an older state.
		if state.Version() >= have.Version && (sent == nil || state.Version() >= sent.Version()) {
			sent = &state
		}
		if !awaitUpdate(ctx, p.source, state.Version(), changed, pings) {
			return ctx.Err()
		}
	}
}

// sendUpdate sends the changes since the state that was sent last or, if there is none,
// since the view that the entry has.
func (p *Publisher) sendUpdate(have *instance.WatchRequest, sent *deployment.State, state deployment.State, send func(*instance.ViewUpdate) error) error {
	var key packedKey
	var u *instance.ViewUpdate
	if sent == nil {
		key = packedKey{from: have.Version, fromConfig: have.ConfigIndex, to: state.Version(), sinceRequest: true}
		u = DeltaSince(have, state)
	} else {
		_, configIndex := sent.Config()
		key = packedKey{from: sent.Version(), fromConfig: configIndex, to: state.Version()}
		u = p.deltas.delta(key, sent, state)
	}
	split := have.Parts && isLarge(u)
	var data []byte
	if split {
		var err error
		if data, err = p.packer.pack(key, u); err != nil {
			return err
		}
	}
	u.Current = p.source.Current()
	u.Control = p.source.ControlAddresses()
	if split {
		return sendParts(u, data, send)
	}
	return send(u)
}

// awaitSignal waits for the next change or ping. It returns false if ctx ends first.
func awaitSignal(ctx context.Context, changed <-chan struct{}, pings <-chan timer.Instant) bool {
	select {
	case <-ctx.Done():
		return false
	case <-pings:
	case <-changed:
	}
	return true
}

// awaitUpdate waits for the next version of the state or the next ping. It returns
// false if ctx ends first.
func awaitUpdate(ctx context.Context, src Source, version uint64, changed <-chan struct{}, pings <-chan timer.Instant) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-pings:
			return true
		case <-changed:
		}
		if state := src.State(); state.Version() != version {
			return timer.Sleep(ctx, batchDelay(len(state.Targets())))
		}
		changed = src.Changed()
	}
}
