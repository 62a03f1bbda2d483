package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is a TCP connection on which a reset never reads as the end. The kernel reports a reset
// once, to a read or to a write. If a write that runs beside a read gets it, the read returns
// io.EOF, and a body that ends with its connection would seem complete.
type Conn struct {
	net.Conn
	mu       sync.Mutex // held during a write
	writeErr error      // of the connection; nil after a timeout
}

// NewConn returns a connection that owns raw.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if no write has failed. The peer has
// then closed its side, and a write that still waits for it is ended.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write in progress may hold the reset; with its deadline passed it returns at once.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, fmt.Errorf("connection ended while the request was sent: %w", c.writeErr)
	}
	return n, err
}
