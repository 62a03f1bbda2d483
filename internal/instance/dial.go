package instance

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

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

// dial connects to another instance and counts the bytes received in received.
func dial(ctx context.Context, address string, received *atomic.Int64) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, received: received}, nil
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
