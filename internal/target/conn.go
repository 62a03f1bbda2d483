package target

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrExpired reports that a request's route had run out before a byte of it
// could be written.
var ErrExpired = errors.New("route expired before the request was written")

// guardedConn is a connection to a target. It asks the guard of the present
// request right before each write, so that a pause of the process between
// decision and write can't let a request out too late, and it counts the bytes
// written for that request.
type guardedConn struct {
	net.Conn
	mu      sync.Mutex
	guard   func() error
	written atomic.Int64
}

// arm sets the guard of the next request and begins a new count.
func (c *guardedConn) arm(guard func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
	c.written.Store(0)
}

// Write writes unless the guard objects.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	guard := c.guard
	c.mu.Unlock()
	if guard != nil {
		if err := guard(); err != nil {
			return 0, err
		}
	}
	// Counted before the write: bytes may leave even where the write fails.
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}
