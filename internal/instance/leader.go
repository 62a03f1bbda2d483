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

// Leader remembers where a group's leader was last found.
type Leader struct {
	pool    *Pool
	timeout time.Duration // of one try

	mu        sync.Mutex
	addresses []string // in the order in which they are tried
}

// NewLeader returns a finder that tries the given addresses, each for at most
// the timeout.
func NewLeader(p *Pool, addresses []string, timeout time.Duration) *Leader {
	return &Leader{pool: p, addresses: slices.Clone(addresses), timeout: timeout}
}

// SetAddresses replaces the addresses that are tried. Those that stay keep
// their order.
func (l *Leader) SetAddresses(addresses []string) {
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

func (l *Leader) candidates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// prefer tries the address first from now on.
func (l *Leader) prefer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = slices.DeleteFunc(l.addresses, func(a string) bool { return a == address })
	l.addresses = slices.Insert(l.addresses, 0, address)
}

// demote tries the address last from now on: it did not answer.
func (l *Leader) demote(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.addresses, address)
	if i < 0 {
		return
	}
	l.addresses = append(slices.Delete(l.addresses, i, i+1), address)
}

// CallLeader calls the group's leader, following hints, until it answers or ctx
// ends. Requests must be idempotent. ErrRefused is final.
func CallLeader[Req, Res any](ctx context.Context, l *Leader, method string, req *Req) (*Res, error) {
	last := ErrUnreachable
	for {
		for _, address := range l.candidates() {
			res, err := tryLeader[Req, Res](ctx, l, address, method, req)
			if err == nil || errors.Is(err, ErrRefused) {
				return res, err
			}
			last = err
			if ctx.Err() != nil {
				return nil, fmt.Errorf("%s: %w", method, errors.Join(ctx.Err(), last))
			}
		}
		if !timer.Sleep(ctx, callPause) {
			return nil, fmt.Errorf("%s: %w", method, errors.Join(ctx.Err(), last))
		}
	}
}

// tryLeader calls one address and, where it names another leader, that one.
func tryLeader[Req, Res any](ctx context.Context, l *Leader, address, method string, req *Req) (*Res, error) {
	res, err := tryOne[Req, Res](ctx, l, address, method, req)
	var hint *NotLeaderError
	if errors.As(err, &hint) && hint.Leader != "" && hint.Leader != address {
		return tryOne[Req, Res](ctx, l, hint.Leader, method, req)
	}
	return res, err
}

// tryOne calls one address and remembers whether it answered.
func tryOne[Req, Res any](ctx context.Context, l *Leader, address, method string, req *Req) (*Res, error) {
	res, err := callOnce[Req, Res](ctx, l, address, method, req)
	switch {
	case err == nil:
		l.prefer(address)
	case errors.Is(err, replica.ErrNotLeader):
	default:
		l.demote(address)
	}
	return res, err
}

func callOnce[Req, Res any](ctx context.Context, l *Leader, address, method string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return Call[Req, Res](ctx, l.pool, address, method, req)
}
