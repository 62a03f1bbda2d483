package target

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrExpired reports that a request's destination expired before the request was
// written completely.
var ErrExpired = errors.New("destination expired before the request was written")

// guardedConn is a connection to a target. It calls the current request's guard
// right before each write, so that a request is not sent too late if the process
// pauses after routing it, and it counts the bytes written for that request.
type guardedConn struct {
	net.Conn
	mu      sync.Mutex
	guard   func() error
	written atomic.Int64
}

// startRequest sets the guard of the next request and resets the count.
func (c *guardedConn) startRequest(guard func() error) {
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
	return c.Conn.Write(data)
}
