// Package bookinglog runs one booking log: it answers the commands of entries
// and, where it leads, marks attempts that never ended as unknown and forgets
// old records.
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
	scanPeriod     = 250 * time.Millisecond
	agePeriod      = time.Minute
	proposeTimeout = time.Second
)

// Log is one booking log at one instance.
type Log struct {
	group     *group.Group[booking.State]
	clock     timer.Service
	log       *log.Logger
	retention func() time.Duration
}

// New returns a log on the replica. Retention returns how long finished
// bookings are remembered.
func New(g *group.Group[booking.State], clock timer.Service, logger *log.Logger, retention func() time.Duration) *Log {
	return &Log{group: g, clock: clock, log: logger, retention: retention}
}

// Handle answers one command.
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

func (l *Log) leaderError(err error) error {
	if errors.Is(err, replica.ErrNotLeader) {
		return &instance.NotLeaderError{Leader: l.group.LeaderAddress()}
	}
	return err
}

// Run does a leader's duties until ctx ends.
func (l *Log) Run(ctx context.Context) {
	scans, stopScans := l.clock.Subscribe(scanPeriod)
	defer stopScans()
	ages, stopAges := l.clock.Subscribe(agePeriod)
	defer stopAges()
	seen := make(map[string]sighting)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-scans:
			seen = l.scan(ctx, now, seen)
		case <-ages:
			l.age(ctx)
		}
	}
}

// sighting is when this leader first saw an open attempt.
type sighting struct {
	attempt string
	at      timer.Instant
}

// scan marks the attempts as unknown that were open for longer than their
// patience, counted by this leader alone.
func (l *Log) scan(ctx context.Context, now timer.Instant, seen map[string]sighting) map[string]sighting {
	next := make(map[string]sighting)
	if l.group.Role().Role != replica.Leader {
		return next
	}
	state := l.group.State().State
	for key, attempt := range state.Open() {
		s, ok := seen[key]
		if !ok || s.attempt != attempt {
			s = sighting{attempt: attempt, at: now}
		}
		record, _ := state.Record(key)
		if now.Sub(s.at) > time.Duration(record.TimeoutMillis)*time.Millisecond {
			l.giveUp(ctx, key, attempt)
			continue
		}
		next[key] = s
	}
	return next
}

func (l *Log) giveUp(ctx context.Context, key, attempt string) {
	finish := booking.Finish{Key: key, Attempt: attempt, Phase: booking.Unknown}
	l.propose(ctx, booking.Command{Finish: &finish})
	l.log.Warn("booking's outcome unknown", "group", l.group.Name(), "attempt", attempt, "outcome", booking.Unknown)
}

func (l *Log) age(ctx context.Context) {
	if l.group.Role().Role != replica.Leader {
		return
	}
	keep := uint64(l.retention()/agePeriod) + 1
	l.propose(ctx, booking.Command{Expire: &booking.Expire{Keep: keep}})
}

func (l *Log) propose(ctx context.Context, c booking.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.group.Propose(ctx, wire.Encode(c)); err != nil {
		l.log.Debug("booking command not committed", "group", l.group.Name(), "error", err)
	}
}
