package targethttp

import (
	"errors"
	"io"
	"slices"
	"sync"

	"github.com/cranberrywind/cranberrywind/internal/http1"
)

const (
	// maxHeadBytes bounds the head of a response, interim responses before it included.
	maxHeadBytes = 64 << 10
	// maxHeldBytes bounds the bytes of response bodies that a pool holds in memory, a
	// sixth of the memory of the smallest instances: the heap grows to several times
	// that before it is collected. A single body may take all of it if its response
	// says how long it is.
	maxHeldBytes = 24 << 20
	// maxHeldBytesSmall is the bound for bodies of up to bodyChunkBytes. They are still read
	// while large ones wait for callers that read slowly.
	maxHeldBytesSmall = maxHeldBytes + 4<<20
	// maxUnknownLength bounds a body whose response does not say how long it is: the
	// target may be sending bytes without end.
	maxUnknownLength = 4 << 20
	// bodyChunkBytes is how many bytes of such a body are reserved and read at a time.
	bodyChunkBytes = 64 << 10
)

var (
	errBodyTooLarge = errors.New("response body is too large")
	// ErrBodiesHeld reports a response that was not read for want of memory. It says nothing
	// about the target.
	ErrBodiesHeld = errors.New("too many bytes of response bodies are held in memory")
)

// bodyBudget counts the bytes of response bodies that a pool holds.
type bodyBudget struct {
	mu   sync.Mutex
	held int
}

// reserve counts n more bytes of a body, and reports false if there would be too many. small
// reports that it has no more than bodyChunkBytes so far.
func (b *bodyBudget) reserve(n int, small bool) bool {
	bound := maxHeldBytes
	if small {
		bound = maxHeldBytesSmall
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > bound {
		return false
	}
	b.held += n
	return true
}

func (b *bodyBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// readBody reads a response's body. Its bytes count as held until the returned function is called,
// which is nil after an error.
func (p *Pool) readBody(resp *http1.Response) (body []byte, release func(), err error) {
	switch {
	case resp.ContentLength < 0:
		return p.readUnknownLength(resp.Body)
	case resp.ContentLength > maxHeldBytes:
		return nil, nil, errBodyTooLarge
	}
	n := int(resp.ContentLength)
	if !p.bodies.reserve(n, n <= bodyChunkBytes) {
		return nil, nil, ErrBodiesHeld
	}
	body = make([]byte, n)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		p.bodies.release(n)
		return nil, nil, err
	}
	return body, func() { p.bodies.release(n) }, nil
}

// readUnknownLength reads a body to its end, in chunks, so that one which is given up
// leaves no copies of itself.
func (p *Pool) readUnknownLength(r io.Reader) (body []byte, release func(), err error) {
	var chunks [][]byte
	reserved, total := 0, 0
	defer func() {
		if err != nil {
			p.bodies.release(reserved)
		}
	}()
	for {
		if total >= maxUnknownLength {
			return nil, nil, errBodyTooLarge
		}
		if !p.bodies.reserve(bodyChunkBytes, total == 0) {
			return nil, nil, ErrBodiesHeld
		}
		reserved += bodyChunkBytes
		chunk, n := make([]byte, bodyChunkBytes), 0
		var readErr error
		for n < len(chunk) && readErr == nil {
			var read int
			read, readErr = r.Read(chunk[n:])
			n += read
		}
		chunks, total = append(chunks, chunk[:n]), total+n
		switch {
		case errors.Is(readErr, io.EOF):
			// The chunks stay in memory beside their copy until they are collected.
			if !p.bodies.reserve(total, len(chunks) == 1) {
				return nil, nil, ErrBodiesHeld
			}
			body = slices.Concat(chunks...)
			p.bodies.release(reserved)
			return body, func() { p.bodies.release(total) }, nil
		case readErr != nil:
			return nil, nil, readErr
		}
	}
}

// discardBody reads the body of a response that belongs to another request.
func discardBody(resp *http1.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnknownLength))
	if err == nil && n == maxUnknownLength {
		return errBodyTooLarge
	}
	return err
}
