package bookinglog_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/bookinglog"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// silent is a transport to nobody.
type silent struct{}

func (silent) Send(string, group.Envelope) {}

// startLog starts a log on one replica, in the folder.
func startLog(t *testing.T, dir string) (*bookinglog.Log, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	clock := timer.NewSystem(ctx)
	g, stop, err := group.Open(ctx, group.Config[booking.State]{
		Name: "booking-0", Instance: "a", Address: "a", Dir: dir, Empty: booking.New(), Decode: booking.Decode,
		Transport: silent{}, Clock: clock, Timing: group.DefaultTiming(),
	})
	assert.NilError(t, err)
	assert.NilError(t, g.Form(replica.Members{Voters: []replica.Member{g.Self()}}))
	l := bookinglog.New(g, clock, log.New(io.Discard), func() time.Duration { return time.Hour })
	go l.Run(ctx)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.Role().Role == replica.Leader {
			return poll.Success()
		}
		return poll.Continue("no leader")
	})
	return l, func() {
		stop()
		cancel()
	}
}

func handle(t *testing.T, l *bookinglog.Log, c booking.Command) booking.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := l.Handle(ctx, c)
	assert.NilError(t, err)
	return r
}

// TestAbandonedAttempt leaves an attempt without an end, as an entry does that
// crashes between start and send. It becomes unknown after its patience, counted
// anew by a leader that was restarted, and is never started again.
func TestAbandonedAttempt(t *testing.T) {
	dir := t.TempDir()
	l, stop := startLog(t, dir)
	start := booking.Start{Key: "k", Attempt: "a", Fingerprint: "f", TimeoutMillis: 300}
	assert.Equal(t, handle(t, l, booking.Command{Start: &start}).Verdict, booking.Proceed)
	stop()
	l, stop = startLog(t, dir)
	defer stop()
	again := start
	again.Attempt = "b"
	assert.Equal(t, handle(t, l, booking.Command{Start: &again}).Verdict, booking.InProgress)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := handle(t, l, booking.Command{Peek: "k"}); r.Record.Phase != booking.Unknown {
			return poll.Continue("phase %q", r.Record.Phase)
		}
		return poll.Success()
	})
	assert.Equal(t, handle(t, l, booking.Command{Start: &again}).Verdict, booking.OutcomeUnknown)
}
