// Package bookinglog runs one booking log: it handles the commands of entries.
// The leader also marks timed-out attempts as unknown and expires old records.
package bookinglog

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	scanPeriod     = 250 * time.Millisecond // between checks for timed-out attempts
	expirePeriod   = time.Minute            // length of a generation of records
	proposeTimeout = time.Second
)

// Log is this instance's replica of a booking log.
type Log struct {
	group     *group.Group[booking.State]
	clock     timer.Clock
	log       *log.Logger
	retention func() time.Duration
}

// New returns a log on this instance's replica, g. retention returns how long the
// records of ended bookings are kept.
func New(g *group.Group[booking.State], clock timer.Clock, logger *log.Logger, retention func() time.Duration) *Log {
	return &Log{group: g, clock: clock, log: logger, retention: retention}
}

// Handle returns the result of a command. A Peek reads through a barrier; other
// commands are proposed to the log. The error is an instance.NotLeaderError if
// this replica doesn't lead.
func (l *Log) Handle(ctx context.Context, c booking.Command) (booking.Result, error) {
	if c.Peek != "" {
		applied, err := l.group.Barrier(ctx)
		if err != nil {
			return booking.Result{}, l.leaderError(err)
		}
		record, _ := applied.State.Record(c.Peek)
		return booking.Result{Record: record}, nil
	}
	result, err := l.group.Propose(ctx, wire.Encode(c))
	if err != nil {
		return booking.Result{}, l.leaderError(err)
	}
	var out booking.Result
	return out, wire.Decode(result.Value, &out)
}

// leaderError replaces replica.ErrNotLeader by an error with the leader's
// address.
func (l *Log) leaderError(err error) error {
	if errors.Is(err, replica.ErrNotLeader) {
		return &instance.NotLeaderError{Leader: l.group.LeaderAddress()}
	}
	return err
}

// Run marks timed-out attempts as unknown and expires records while this replica
// leads, until ctx is done.
func (l *Log) Run(ctx context.Context) {
	scanTicks, stopScans := l.clock.Subscribe(scanPeriod)
	defer stopScans()
	expireTicks, stopExpire := l.clock.Subscribe(expirePeriod)
	defer stopExpire()
	open := make(map[string]openAttempt)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-scanTicks:
			open = l.markTimedOut(ctx, now, open)
		case <-expireTicks:
			l.expireRecords(ctx)
		}
	}
}

// openAttempt is an attempt that has not ended, and the time at which this leader
// first saw it.
type openAttempt struct {
	attempt   string
	firstSeen timer.Instant
}

// markTimedOut marks attempts as unknown that have been open for longer than their
// timeout, and returns the others. The time counts from when this leader first saw
// the attempt.
func (l *Log) markTimedOut(ctx context.Context, now timer.Instant, open map[string]openAttempt) map[string]openAttempt {
	stillOpen := make(map[string]openAttempt)
	if l.group.Role().Role != replica.Leader {
		return stillOpen
	}
	state := l.group.State().State
	for key, attempt := range state.Open() {
		a, ok := open[key]
		if !ok || a.attempt != attempt {
			a = openAttempt{attempt: attempt, firstSeen: now}
		}
		record, _ := state.Record(key)
		if now.Sub(a.firstSeen) > time.Duration(record.TimeoutMillis)*time.Millisecond {
			l.markUnknown(ctx, key, attempt)
			continue
		}
		stillOpen[key] = a
	}
	return stillOpen
}

func (l *Log) markUnknown(ctx context.Context, key, attempt string) {
	finish := booking.Finish{Key: key, Attempt: attempt, Phase: booking.Unknown}
	l.propose(ctx, booking.Command{Finish: &finish})
	l.log.Warn("booking's outcome unknown", "group", l.group.Name(), "attempt", attempt, "outcome", booking.Unknown)
}

// expireRecords begins a new generation and deletes the records that are older
// than the retention. The extra generation makes up for rounding down.
func (l *Log) expireRecords(ctx context.Context) {
	if l.group.Role().Role != replica.Leader {
		return
	}
	keep := uint64(l.retention()/expirePeriod) + 1
	l.propose(ctx, booking.Command{Expire: &booking.Expire{Keep: keep}})
}

// propose commits a command. A failure is only logged, since Run tries again: it
// expires records at the next tick, and marks an attempt that is still open once its
// timeout has passed again.
func (l *Log) propose(ctx context.Context, c booking.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.group.Propose(ctx, wire.Encode(c)); err != nil {
		l.log.Debug("booking command not committed", "group", l.group.Name(), "error", err)
	}
}
