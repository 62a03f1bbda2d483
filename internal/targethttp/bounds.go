package targethttp

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
)

const (
	// maxHeadBytes bounds the head of a response, interim responses before it included.
	maxHeadBytes = 64 << 10
	// maxHeldBytes bounds the bytes of response bodies that a pool holds in memory, a
	// sixth of the memory of the smallest instances: the heap grows to several times
	// that before it is collected. A single body may take all of it if its response
	// says how long it is.
	maxHeldBytes = 24 << 20
	// maxUnknownLength bounds a body whose response does not say how long it is: the
	// target may be sending bytes without end.
	maxUnknownLength = 4 << 20
	// bodyChunkBytes is how many bytes of such a body are reserved and read at a time.
	bodyChunkBytes = 64 << 10
)

var (
	errHeadTooLarge = errors.New("response head is too large")
	errBodyTooLarge = errors.New("response body is too large")
	errBodiesHeld   = errors.New("too many bytes of response bodies are held in memory")
)

// headLimiter bounds the bytes that are read while limited is set. Past them it returns
// errHeadTooLarge.
type headLimiter struct {
	reader    io.Reader
	limited   bool
	remaining int
}

// Read reads from the connection.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// bodyBudget counts the bytes of response bodies that a pool holds.
type bodyBudget struct {
	mu   sync.Mutex
	held int
}

// reserve counts n more bytes, and reports false if there would be too many.
func (b *bodyBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > maxHeldBytes {
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

// readBody reads a response's body. Its bytes count as held until it has been read. It
// does not close the body, which would read the rest of it, also one without end: after an
// error the connection is closed instead.
func (p *Pool) readBody(resp *http.Response) ([]byte, error) {
	switch {
	case resp.Request.Method == http.MethodHead:
		return nil, nil
	case resp.ContentLength < 0:
		return p.readUnknownLength(resp.Body)
	case resp.ContentLength > maxHeldBytes:
		return nil, errBodyTooLarge
	}
	n := int(resp.ContentLength)
	if !p.bodies.reserve(n) {
		return nil, errBodiesHeld
	}
	defer p.bodies.release(n)
	body := make([]byte, n)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// readUnknownLength reads a body to its end, in chunks, so that one which is given up
// leaves no copies of itself.
func (p *Pool) readUnknownLength(r io.Reader) ([]byte, error) {
	var chunks [][]byte
	total := 0
	defer func() { p.bodies.release(len(chunks) * bodyChunkBytes) }()
	for {
		if total >= maxUnknownLength {
			return nil, errBodyTooLarge
		}
		if !p.bodies.reserve(bodyChunkBytes) {
			return nil, errBodiesHeld
		}
		chunk, n := make([]byte, bodyChunkBytes), 0
		var err error
		for n < len(chunk) && err == nil {
			var read int
			read, err = r.Read(chunk[n:])
			n += read
		}
		chunks, total = append(chunks, chunk[:n]), total+n
		switch {
		case errors.Is(err, io.EOF):
			return slices.Concat(chunks...), nil
		case err != nil:
			return nil, err
		}
	}
}

// discardBody reads the body of a response that belongs to another request. Like
// readBody, it does not close the body.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnknownLength))
	if err == nil && n == maxUnknownLength {
		return errBodyTooLarge
	}
	return err
}
