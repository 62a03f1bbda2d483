package targethttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

// Request is one request as it goes to a target.
type Request struct {
	Method  string
	Head    []byte // request line and headers, with the empty line
	Body    []byte
	ID      string // that the answer has to echo
	Careful bool   // must not run twice: avoids connections that may be closing
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Reused bool // came on a connection that had been used before
}

const (
	// maxStale is how many answers to earlier requests are passed over on a
	// connection before it is given up.
	maxStale = 4
	// LargeBytes is from which length on a body takes turns on a narrow link.
	LargeBytes = 24 << 10
	// maxAnswerBytes bounds one answer's body, which is held in memory whole.
	maxAnswerBytes = 64 << 20
)

var errTooLarge = errors.New("answer is too large")

// Do sends a request to the address and reads its whole answer. Most is how
// many connections to the address may be open. IDHeader names the header that
// repeats the request's ID. The connection is closed where ctx ends first.
func (p *Pool) Do(ctx context.Context, address string, most int, idHeader string, r Request) (*Answer, error) {
	c, err := p.get(ctx, address, most, r.Careful)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.put(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a, keep, err := c.exchange(ctx, p.turns, idHeader, r)
	if !stop() || err != nil || !keep {
		p.drop(c)
	} else {
		p.put(c)
	}
	if err != nil && ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
		err = fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return a, err
}

// exchange writes the request and reads answers until the one with its ID. It
// reports whether the connection may be used again.
func (c *conn) exchange(ctx context.Context, turns *limit.Turns, idHeader string, r Request) (*Answer, bool, error) {
	n, writeErr := c.write(r)
	if writeErr != nil && n == 0 && !errors.Is(writeErr, os.ErrDeadlineExceeded) {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, writeErr)
	}
	// A target may answer and close before it has read a long body, so that the
	// answer is read after a failed write too.
	for range maxStale {
		a, keep, err := c.readAnswer(ctx, turns, r.Method)
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if got := a.Header.Get(idHeader); got == r.ID || got == "" && a.Status >= http.StatusBadRequest {
			a.Reused = c.reused
			return a, keep && writeErr == nil && c.reader.Buffered() == 0, nil
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

// readAnswer reads one whole answer. One without a length is whole where the
// connection ends without a reset.
func (c *conn) readAnswer(ctx context.Context, turns *limit.Turns, method string) (*Answer, bool, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue // interim answer
		}
		giveBack := func() {}
		if resp.ContentLength > LargeBytes {
			giveBack = turns.Take(ctx)
		}
		body, err := readBody(resp)
		giveBack()
		if err != nil {
			return nil, false, err
		}
		c.noteKeepAlive(resp.Header)
		unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		keep := !resp.Close && !unframed
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, keep, nil
	}
}

func readBody(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
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
