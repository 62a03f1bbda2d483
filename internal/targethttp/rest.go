package targethttp

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Rest is a body that comes in while it is passed on. Its methods are safe for
// concurrent use.
type Rest struct {
	data []byte

	mu   sync.Mutex
	have int
	done bool
	err  error
	more chan struct{} // closed at the next change
}

func newRest(size int) *Rest {
	return &Rest{data: make([]byte, size), more: make(chan struct{})}
}

// Size returns the length of the whole body.
func (r *Rest) Size() int { return len(r.data) }

// Next returns the bytes that follow the first n, as soon as there are any. It
// returns an error where the body broke off, and none with the last bytes. They
// must not be changed.
func (r *Rest) Next(ctx context.Context, n int) ([]byte, error) {
	for {
		r.mu.Lock()
		have, done, err, more := r.have, r.done, r.err, r.more
		r.mu.Unlock()
		switch {
		case have > n:
			return r.data[n:have], nil
		case done:
			return nil, err
		}
		select {
		case <-more:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Whole waits for the whole body.
func (r *Rest) Whole(ctx context.Context) ([]byte, error) {
	for n := 0; n < len(r.data); {
		part, err := r.Next(ctx, n)
		if err != nil {
			return nil, err
		}
		n += len(part)
	}
	return r.data, nil
}

// add notes bytes that came in, or how the body ended.
func (r *Rest) add(n int, done bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.have += n
	r.done = done
	r.err = err
	close(r.more)
	r.more = make(chan struct{})
}

// fill reads the body.
func (r *Rest) fill(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	for at := 0; at < len(r.data); {
		n, err := resp.Body.Read(r.data[at:])
		at += n
		if err != nil && at < len(r.data) {
			err = fmt.Errorf("%w: %w", ErrBroken, err)
			r.add(n, true, err)
			return err
		}
		r.add(n, at == len(r.data), nil)
	}
	return nil
}

// readRest reads a body that Do left, and gives the connection back.
func (p *Pool) readRest(ctx context.Context, c *conn, resp *http.Response, rest *Rest, reusable bool) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	err := rest.fill(resp)
	if !stop() || err != nil || !reusable || c.reader.Buffered() > 0 {
		p.drop(c)
		return
	}
	p.put(c)
}
