package entry

import (
	"context"
	"fmt"
	"sync"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// bookingLogClients holds a client for the leader of each booking log.
type bookingLogClients struct {
	pool      *instance.Pool
	mu        sync.Mutex
	addresses []string
	leaders   map[string]*instance.LeaderClient
}

// BookingGroupName returns the name of the replica group of booking log n.
func BookingGroupName(n int) string { return fmt.Sprintf("booking-%d", n) }

// groupOf returns the name of the replica group whose booking log stores a key.
func groupOf(key string, groups int) string {
	return BookingGroupName(int(uint64(keyspace.PointOf(key)) % uint64(max(groups, 1))))
}

func (b *bookingLogClients) leader(group string) *instance.LeaderClient {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.leaders[group]
	if !ok {
		l = instance.NewLeaderClient(b.pool, b.addresses, callTimeout)
		b.leaders[group] = l
	}
	return l
}

func (b *bookingLogClients) setAddresses(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = addresses
	for _, l := range b.leaders {
		l.SetAddresses(addresses)
	}
}

// StartBooking asks the booking log for permission to send a booking. After an error
// the booking may be recorded as started, but it has not been sent.
func (e *Entry) StartBooking(ctx context.Context, start booking.Start) (booking.Result, error) {
	return e.callBookingLog(ctx, start.Key, booking.Command{Start: &start})
}

// FinishBooking records the result of an attempt.
func (e *Entry) FinishBooking(ctx context.Context, finish booking.Finish) error {
	_, err := e.callBookingLog(ctx, finish.Key, booking.Command{Finish: &finish})
	return err
}

// PeekBooking returns the booking log's record of a key. The record of an unknown key
// has no phase.
func (e *Entry) PeekBooking(ctx context.Context, key string) (booking.Record, error) {
	res, err := e.callBookingLog(ctx, key, booking.Command{Peek: key})
	return res.Record, err
}

func (e *Entry) callBookingLog(ctx context.Context, key string, command booking.Command) (booking.Result, error) {
	group := groupOf(key, e.View().Config.Bookings.Groups)
	req := &instance.BookingRequest{Group: group, Command: command}
	res, err := instance.CallLeader[instance.BookingRequest, instance.BookingResponse](ctx, e.bookingLogs.leader(group), "Booking", req)
	if err != nil {
		return booking.Result{}, fmt.Errorf("booking log %s: %w", group, err)
	}
	return res.Result, nil
}
