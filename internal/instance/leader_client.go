package instance

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// LeaderClient finds a group's leader among several addresses and remembers which
// address succeeded last. Its methods are safe for concurrent use.
type LeaderClient struct {
	pool    *Pool
	timeout time.Duration // of one call

	mu        sync.Mutex
	addresses []string // in the order in which they are tried
}

// NewLeaderClient returns a client that tries the given addresses. Each call is
// limited to the timeout.
func NewLeaderClient(p *Pool, addresses []string, timeout time.Duration) *LeaderClient {
	return &LeaderClient{pool: p, addresses: slices.Clone(addresses), timeout: timeout}
}

// SetAddresses replaces the addresses. Addresses that were there before keep their
// order and are tried first.
func (l *LeaderClient) SetAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := slices.DeleteFunc(l.addresses, func(a string) bool { return !slices.Contains(addresses, a) })
	for _, a := range addresses {
		if !slices.Contains(kept, a) {
			kept = append(kept, a)
		}
	}
	l.addresses = kept
}

func (l *LeaderClient) addressList() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// moveToFront makes the address the first to try, and adds it if it is new.
func (l *LeaderClient) moveToFront(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = slices.DeleteFunc(l.addresses, func(a string) bool { return a == address })
	l.addresses = slices.Insert(l.addresses, 0, address)
}

// moveToBack makes the address the last to try, if it is still in the list.
func (l *LeaderClient) moveToBack(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.addresses, address)
	if i < 0 {
		return
	}
	l.addresses = append(slices.Delete(l.addresses, i, i+1), address)
}

// CallLeader calls the group's leader and retries until it succeeds or ctx ends.
// Requests must be idempotent. ErrRejected is returned without a retry.
func CallLeader[Req, Res any](ctx context.Context, l *LeaderClient, method string, req *Req) (*Res, error) {
	lastErr := ErrUnreachable
	for {
		for _, address := range l.addressList() {
			res, err := tryLeader[Req, Res](ctx, l, address, method, req)
			if err == nil || errors.Is(err, ErrRejected) {
				return res, err
			}
			lastErr = err
			if ctx.Err() != nil {
				return nil, fmt.Errorf("%s: %w", method, errors.Join(ctx.Err(), lastErr))
			}
		}
		if !timer.Sleep(ctx, leaderRetryDelay) {
			return nil, fmt.Errorf("%s: %w", method, errors.Join(ctx.Err(), lastErr))
		}
	}
}

// CallLeaderOnce calls the group's leader like CallLeader, but calls each address at most once.
// It is for requests that are soon followed by the next: retries by many callers would keep
// the group from electing a leader.
func CallLeaderOnce[Req, Res any](ctx context.Context, l *LeaderClient, method string, req *Req) (*Res, error) {
	lastErr := ErrUnreachable
	var called []string
	for next := l.addressList(); len(next) > 0 && ctx.Err() == nil; {
		address := next[0]
		next = next[1:]
		if slices.Contains(called, address) {
			continue
		}
		called = append(called, address)
		res, err := tryAddress[Req, Res](ctx, l, address, method, req)
		if err == nil || errors.Is(err, ErrRejected) {
			return res, err
		}
		lastErr = err
		var notLeader *NotLeaderError
		if errors.As(err, &notLeader) && notLeader.Leader != "" {
			next = slices.Insert(next, 0, notLeader.Leader)
		}
	}
	return nil, fmt.Errorf("%s: %w", method, errors.Join(ctx.Err(), lastErr))
}

// tryLeader calls one address. If the response names another address as the
// leader's, tryLeader calls that one too.
func tryLeader[Req, Res any](ctx context.Context, l *LeaderClient, address, method string, req *Req) (*Res, error) {
	res, err := tryAddress[Req, Res](ctx, l, address, method, req)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" && notLeader.Leader != address {
		return tryAddress[Req, Res](ctx, l, notLeader.Leader, method, req)
	}
	return res, err
}

// tryAddress calls one address. It moves the address to the front if the call
// succeeds, and to the back if it fails for another reason than that the instance is
// not the leader.
func tryAddress[Req, Res any](ctx context.Context, l *LeaderClient, address, method string, req *Req) (*Res, error) {
	res, err := callWithTimeout[Req, Res](ctx, l, address, method, req)
	switch {
	case err == nil:
		l.moveToFront(address)
	case errors.Is(err, replica.ErrNotLeader):
	default:
		l.moveToBack(address)
	}
	return res, err
}

func callWithTimeout[Req, Res any](ctx context.Context, l *LeaderClient, address, method string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return Call[Req, Res](ctx, l.pool, address, method, req)
}
