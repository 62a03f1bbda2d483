package targethttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/http1"
)

// Request is one request in the form in which it is sent to a target.
type Request struct {
	Method string
	// Head returns the request line and headers, including the final empty line. It is
	// called right before the request is written: opening a connection takes time, which
	// is then no longer left until the request's deadline.
	Head          func() []byte
	Body          []byte
	ID            string // expected in the response's ID header
	NonIdempotent bool   // must not run twice: avoids connections that may be closing
	// IDOptional accepts a response without an ID as well. On a kept connection it may be
	// that of an earlier request once more.
	IDOptional bool
	// OwnConn sends the request on a new connection that serves no other one, so that its
	// first response is about no other request.
	OwnConn bool
	// ConnectTimeout bounds the time to open a new connection; zero means
	// defaultConnectTimeout.
	ConnectTimeout time.Duration
	// Allowed is called right before the request is written, since opening a
	// connection may have taken long or the process may have been suspended. If it
	// returns false, the request is not sent. Nil always allows it.
	Allowed func() bool
	// Pace is called before each chunk of a long body with the chunk's size and the bytes
	// that are left, and waits until it may be sent. Nil sends the body at once.
	Pace func(chunk, remaining int) error
	// BodyContext lets Do return before a large body is complete; the body is then
	// read until the context ends. If it is nil, Do reads every body completely.
	BodyContext context.Context
}

// Response is a target's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte      // complete, unless Stream is set
	Stream *BodyStream // a body that is still being read
	Reused bool        // the connection had served an earlier request

	release func() // ends counting the body as held; nil after Close
}

// Close ends the use of the body, whose bytes count as held until then. It must be called once
// the body has been used, or is not needed.
func (r *Response) Close() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

const (
	// maxResponsesRead is how many responses are read on a connection in search of
	// the one with the request's ID, before the connection is discarded.
	maxResponsesRead = 4
	// StreamThresholdBytes is the length above which a body can be passed on before
	// it is complete.
	StreamThresholdBytes = 24 << 10
)

// Do sends a request to the address and returns its response. It reads the whole
// body, unless the request has a BodyContext and the body is longer than
// StreamThresholdBytes: such a body is returned as a Stream. The response must be closed.
// At most maxConns
// connections to the address may be open. idHeader names the header in which the
// target repeats the request's ID. If ctx ends first, the connection is closed.
// Errors wrap ErrNotSent or ErrIncompleteResponse.
func (p *Pool) Do(ctx context.Context, address string, maxConns int, idHeader string, r Request) (*Response, error) {
	c, err := p.get(ctx, address, maxConns, r)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.put(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if r.Allowed != nil && !r.Allowed() {
		p.put(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrNotAllowed)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := c.exchange(idHeader, r)
	out := &Response{Reused: c.reused}
	if err == nil {
		out.Status, out.Header = resp.Status, resp.Header
		if r.BodyContext != nil && p.reserveStream(resp.ContentLength) {
			n := int(resp.ContentLength)
			if stop() {
				out.Stream = newBodyStream(n)
				out.release = func() { p.bodies.release(n) }
				go p.fillStream(r.BodyContext, c, resp, out.Stream, reusable)
				return out, nil
			}
			p.bodies.release(n)
		}
		if out.Body, out.release, err = p.readBody(resp); err != nil {
			err = fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
	}
	p.recycle(c, stop() && err == nil && reusable)
	if err == nil {
		return out, nil
	}
	if ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
		err = fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return nil, err
}

// reserveStream reports whether a body of the length is read as a stream. Its bytes then
// count as held.
func (p *Pool) reserveStream(length int64) bool {
	return length > StreamThresholdBytes && length <= maxHeldBytes && p.bodies.reserve(int(length), false)
}

// exchange writes the request and reads the header of its response. It skips
// responses with another ID. Only an error response may lack the ID, as the first one of its
// connection: on a kept connection it may be about an earlier request. exchange reports
// whether the connection may be reused once the body has been read.
func (c *conn) exchange(idHeader string, r Request) (*http1.Response, bool, error) {
	c.sending = c.write(r)
	if c.sending.Ended() {
		if err := c.sending.notSent(); err != nil {
			return nil, false, err
		}
	}
	// The response is read even after a failed write, and while a long body is written,
	// because a target may respond before it has read the body, and then close the
	// connection or not.
	for n := range maxResponsesRead {
		resp, err := http1.ReadResponse(c.reader, r.Method, maxHeadBytes)
		if err != nil {
			_ = c.SetWriteDeadline(time.Unix(1, 0))
			<-c.sending.done
			if err := c.sending.notSent(); err != nil {
				return nil, false, err
			}
			return nil, false, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		c.applyKeepAlive(resp.Header)
		failed := resp.Status >= http.StatusBadRequest
		if ids := resp.Header[idHeader]; len(ids) > 1 {
			return nil, false, fmt.Errorf("%w: response has %d IDs", ErrIncompleteResponse, len(ids))
		}
		got := resp.Header.Get(idHeader)
		if got == r.ID || got == "" && (r.IDOptional || failed && !c.reused && n == 0) {
			if failed && r.ID != "" {
				c.failed = append(c.failed, r.ID)
			}
			return resp, !resp.Close && !r.OwnConn && len(c.failed) < maxFailed, nil
		}
		if got == "" && failed {
			return nil, false, fmt.Errorf("%w: an error without an ID on a kept connection", ErrIncompleteResponse)
		}
		if err := discardBody(resp); err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		if resp.Close {
			break
		}
	}
	return nil, false, fmt.Errorf("%w: responses belong to other requests", ErrIncompleteResponse)
}
