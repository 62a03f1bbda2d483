package targethttp

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/http1"
)

// BodyStream is a response body that can be read while it is still being received.
// Its methods are safe for concurrent use.
type BodyStream struct {
	data []byte

	mu       sync.Mutex
	received int
	done     bool
	err      error
	changed  chan struct{} // closed and replaced at each update
}

func newBodyStream(size int) *BodyStream {
	return &BodyStream{data: make([]byte, size), changed: make(chan struct{})}
}

// Size returns the length of the complete body in bytes.
func (r *BodyStream) Size() int { return len(r.data) }

// Next waits for bytes beyond the offset and returns all that have been received.
// When there are no more, it returns nil, with an ErrIncompleteResponse if the body
// ended early. If ctx ends first, it returns the context's error. The returned bytes
// must not be modified.
func (r *BodyStream) Next(ctx context.Context, offset int) ([]byte, error) {
	for {
		r.mu.Lock()
		received, done, err, changed := r.received, r.done, r.err, r.changed
		r.mu.Unlock()
		switch {
		case received > offset:
			return r.data[offset:received], nil
		case done:
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Wait waits until the body has ended and returns an ErrIncompleteResponse if it ended early, or
// the context's error if ctx ends first.
func (r *BodyStream) Wait(ctx context.Context) error {
	for {
		r.mu.Lock()
		done, err, changed := r.done, r.err, r.changed
		r.mu.Unlock()
		if done {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ReadAll waits until the body is complete and returns it.
func (r *BodyStream) ReadAll(ctx context.Context) ([]byte, error) {
	for n := 0; n < len(r.data); {
		part, err := r.Next(ctx, n)
		if err != nil {
			return nil, err
		}
		n += len(part)
	}
	return r.data, nil
}

// update records n received bytes and whether and how the body has ended, and wakes
// up waiting readers.
func (r *BodyStream) update(n int, done bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received += n
	r.done = done
	r.err = err
	close(r.changed)
	r.changed = make(chan struct{})
}

// fill reads the response's body into the stream and closes it. If ctx has ended by the time of
// an error, the error is an ErrTimeout.
func (r *BodyStream) fill(ctx context.Context, resp *http1.Response) error {
	for offset := 0; offset < len(r.data); {
		n, err := resp.Body.Read(r.data[offset:])
		offset += n
		if err != nil && offset < len(r.data) {
			kind := ErrIncompleteResponse
			if ctx.Err() != nil {
				kind = ErrTimeout
			}
			err = fmt.Errorf("%w: %w", kind, err)
			r.update(n, true, err)
			return err
		}
		r.update(n, offset == len(r.data), nil)
	}
	return nil
}

// fillStream reads the body of a response that Do has returned already. Then it
// returns the connection to the pool, or discards it if it can't be reused.
func (p *Pool) fillStream(ctx context.Context, c *conn, resp *http1.Response, stream *BodyStream, reusable bool) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	err := stream.fill(ctx, resp)
	p.recycle(c, stop() && err == nil && reusable)
}
