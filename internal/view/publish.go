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
	// ControlAddresses returns the addresses of the control instances.
	ControlAddresses() []string
}

const (
	// pingPeriod is the longest time between two updates of a stream.
	pingPeriod = 250 * time.Millisecond
	// batchDelay is the time for which changes are collected into one update.
	batchDelay = 5 * time.Millisecond
)

// Publish sends an entry the changes since its view, and then an update after each
// batch of changes and in each ping period, until send fails or ctx ends. It returns
// the error of send or ctx.
func Publish(ctx context.Context, src Source, clock timer.Clock, have *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	pings, stop := clock.Subscribe(pingPeriod)
	defer stop()
	var sent *deployment.State
	for {
		changed := src.Changed()
		state := src.State()
		u := DeltaSince(have, state)
		if sent != nil {
			u = Delta(sent, state)
		}
		u.Current = src.Current()
		u.Control = src.ControlAddresses()
		if err := send(u); err != nil {
			return err
		}
		// Delta finds removed routes, services and targets by comparison with the
		// sent state. If that were older than the entry's view, it could lack some
		// that the entry has, and their removal would be missed.
		if state.Version() >= have.Version {
			sent = &state
		}
		if !awaitUpdate(ctx, src, state.Version(), changed, pings) {
			return ctx.Err()
		}
	}
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
		if src.State().Version() != version {
			return timer.Sleep(ctx, batchDelay)
		}
		changed = src.Changed()
	}
}
