package view

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Source is the replica whose state is published.
type Source interface {
	State() deployment.State
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Current reports whether the replica is in touch with its leader.
	Current() bool
	// Control returns the addresses of the control instances.
	Control() []string
}

const (
	// pingPeriod is the longest pause between two updates of a stream.
	pingPeriod = 250 * time.Millisecond
	// gatherTime is for how long changes are gathered into one update.
	gatherTime = 5 * time.Millisecond
)

// Publish sends an entry what it lacks of the view and then each change, until
// send fails or ctx ends.
func Publish(ctx context.Context, src Source, clock timer.Clock, have *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	pings, stop := clock.Subscribe(pingPeriod)
	defer stop()
	var sent *deployment.State
	for {
		changed := src.Changed()
		state := src.State()
		u := Resume(have, state)
		if sent != nil {
			u = Since(sent, state)
		}
		u.Current = src.Current()
		u.Control = src.Control()
		if err := send(u); err != nil {
			return err
		}
		// What changed can be told from a state that the entry has, no earlier.
		if state.Version() >= have.Version {
			sent = &state
		}
		if !awaitVisible(ctx, src, state.Version(), changed, pings) {
			return ctx.Err()
		}
	}
}

// awaitVisible waits for a change of what entries see, or the next ping, and
// reports whether ctx is still alive.
func awaitVisible(ctx context.Context, src Source, version uint64, changed <-chan struct{}, pings <-chan timer.Instant) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-pings:
			return true
		case <-changed:
		}
		if src.State().Version() != version {
			return timer.Sleep(ctx, gatherTime)
		}
		changed = src.Changed()
	}
}
