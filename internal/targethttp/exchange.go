package targethttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Request is one request as it goes to a target.
type Request struct {
	Method  string
	Head    []byte // request line and headers, with the empty line
	Body    []byte
	ID      string // that the answer has to echo
	Careful bool   // must not run twice: avoids connections that may be closing
	// Connect bounds how long a new connection may take; 0 for dialTimeout.
	Connect time.Duration
	// Allowed is asked right before the request is written; nil always allows it.
	// Connecting may have taken long, or the process been suspended meanwhile.
	Allowed func() bool
	// BodyContext lets a large body come in after Do has returned, until the
	// context ends. Nil asks for whole answers.
	BodyContext context.Context
}

// Answer is a target's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte // whole, unless Rest is set
	Rest   *Rest  // a body that is still coming in
	Reused bool   // came on a connection that had been used before
}

const (
	// maxStale is how many answers to earlier requests are passed over on a
	// connection before it is given up.
	maxStale = 4
	// LargeBytes is from which length on a body can be passed on before it is
	// whole.
	LargeBytes = 24 << 10
	// maxAnswerBytes bounds one answer's body, which is held in memory whole.
	maxAnswerBytes = 64 << 20
)

var errTooLarge = errors.New("answer is too large")

// Do sends a request to the address and reads its whole answer, or all but a
// large body where the request allows that. Most is how many connections to the
// address may be open. IDHeader names the header that repeats the request's ID.
// The connection is closed where ctx ends first.
func (p *Pool) Do(ctx context.Context, address string, most int, idHeader string, r Request) (*Answer, error) {
	c, err := p.get(ctx, address, most, r)
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
	a := &Answer{Reused: c.reused}
	if err == nil {
		a.Status, a.Header = resp.StatusCode, resp.Header
		if r.BodyContext != nil && r.Method != http.MethodHead && resp.ContentLength > LargeBytes && resp.ContentLength <= maxAnswerBytes && stop() {
			a.Rest = newRest(int(resp.ContentLength))
			go p.readRest(r.BodyContext, c, resp, a.Rest, reusable)
			return a, nil
		}
		if a.Body, err = readBody(resp); err != nil {
			err = fmt.Errorf("%w: %w", ErrBroken, err)
		}
	}
	if !stop() || err != nil || !reusable || c.reader.Buffered() > 0 {
		p.drop(c)
	} else {
		p.put(c)
	}
	if err == nil {
		return a, nil
	}
	if ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
		err = fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return nil, err
}

// exchange writes the request and reads answers until the one with its ID, of
// which it reads the header. It reports whether the connection may be used again
// after the body.
func (c *conn) exchange(idHeader string, r Request) (*http.Response, bool, error) {
	n, writeErr := c.write(r)
	if writeErr != nil && n == 0 && !errors.Is(writeErr, os.ErrDeadlineExceeded) {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, writeErr)
	}
	// A target may answer and close before it has read a long body, so that the
	// answer is read after a failed write too.
	for range maxStale {
		resp, err := c.readHeader(r.Method)
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		// One without a length is whole where the connection ends without a reset.
		unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		keep := !resp.Close && !unframed
		if got := resp.Header.Get(idHeader); got == r.ID || got == "" && resp.StatusCode >= http.StatusBadRequest {
			return resp, keep && writeErr == nil, nil
		}
		if _, err := readBody(resp); err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if !keep {
			break
		}
	}
	return nil, false, fmt.Errorf("%w: answers belong to other requests", ErrBroken)
}

func (c *conn) write(r Request) (int, error) {
	if len(r.Body) == 0 {
		return c.Write(r.Head)
	}
	out := make([]byte, 0, len(r.Head)+len(r.Body))
	return c.Write(append(append(out, r.Head...), r.Body...))
}

// readHeader reads the header of one answer.
func (c *conn) readHeader(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue // interim answer
		}
		c.noteKeepAlive(resp.Header)
		return resp, nil
	}
}

func readBody(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength > maxAnswerBytes {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if len(body) > maxAnswerBytes {
		return nil, errTooLarge
	}
	return body, err
}
