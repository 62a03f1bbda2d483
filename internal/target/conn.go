package target

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/cranberrywind/cranberrywind/internal/http1"
)

// ErrExpired reports that a request's destination expired before the request was
// written completely.
var ErrExpired = errors.New("destination expired before the request was written")

// guardedConn is a connection to a target. It calls the current request's guard
// right before each write, so that a request is not sent too late if the process
// pauses after routing it, and it counts the bytes written for that request.
type guardedConn struct {
	*http1.ClientConn
	mu      sync.Mutex
	guard   func() error
	written atomic.Int64
}

// startRequest sets the method and the guard of the next request and resets the count.
func (c *guardedConn) startRequest(method string, guard func() error) {
	c.Expect(method)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
	c.written.Store(0)
}

// Write writes data unless the guard returns an error.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	guard := c.guard
	c.mu.Unlock()
	if guard != nil {
		if err := guard(); err != nil {
			return 0, err
		}
	}
	// Counted before the write, since a failed write may have sent some bytes.
	c.written.Add(int64(len(data)))
	return c.ClientConn.Write(data)
}
