package instance

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read reads from the connection.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// maxDials and dialStagger bound the connections that are opened in parallel for one:
// one each dialStagger until connectTimeout. The first may still succeed when a full
// link delays each packet, and a later one when the peer was not up before.
const (
	maxDials    = 5
	dialStagger = 300 * time.Millisecond
)

// dial connects to another instance and counts the bytes received in received. While
// the peer does not answer, it opens further connections in parallel, and keeps the first
// that succeeds.
func dial(ctx context.Context, address string, received *atomic.Int64) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result, maxDials)
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	open := func() {
		conn, err := d.DialContext(ctx, "tcp", address)
		results <- result{conn: conn, err: err}
	}
	go open()
	started := 1
	defer func() {
		go func() {
			for range started {
				if r := <-results; r.conn != nil {
					_ = r.conn.Close()
				}
			}
		}()
	}()
	next := time.NewTicker(dialStagger)
	defer next.Stop()
	for {
		select {
		case r := <-results:
			started--
			if r.err != nil {
				return nil, r.err
			}
			return countingConn{Conn: r.conn, received: received}, nil
		case <-next.C:
			if started < maxDials {
				started++
				go open()
			}
		}
	}
}

// setUserTimeout makes the kernel break a connection whose peer acknowledges nothing
// for keepaliveTimeout. gRPC does this only for connections that it dials itself.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(keepaliveTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
