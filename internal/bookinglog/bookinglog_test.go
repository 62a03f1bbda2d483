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

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Send(string, group.Envelope) {}

// startLog starts a booking log on a group of one replica that stores its data
// in dir, and waits until it leads. The function that it returns stops the log.
func startLog(t *testing.T, dir string) (*bookinglog.Log, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	clock := timer.NewSystem(ctx)
	g, stop, err := group.Open(ctx, group.Config[booking.State]{
		Name: "booking-0", Instance: "a", Address: "a", Dir: dir, Empty: booking.New(), Decode: booking.Decode,
		Transport: discardTransport{}, Clock: clock, Timing: group.DefaultTiming(),
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

// TestAbandonedAttempt starts an attempt that never ends, as after a crash of an
// entry between start and send. The attempt must become unknown after its
// timeout, which a restarted leader counts from the beginning, and the booking
// must not be started again.
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
