package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialPeer returns both ends of a connection.
func dialPeer(t *testing.T) (*Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	peer, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return NewConn(raw), peer.(*net.TCPConn)
}

// Guards against a reset that a write gets, after which a read sees the end of the connection.
func TestResetReadsAsNoEnd(t *testing.T) {
	upload := []byte(strings.Repeat("x", 16<<20))
	for n := range 40 {
		delay := time.Duration(n%4) * time.Millisecond
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c, peer := dialPeer(t)
			go func() { _, _ = c.Write(upload) }()
			_, err := io.ReadFull(peer, make([]byte, 100))
			assert.NilError(t, err)
			_, err = io.WriteString(peer, "part")
			assert.NilError(t, err)
			time.Sleep(delay)
			assert.NilError(t, peer.SetLinger(0))
			assert.NilError(t, peer.Close())
			_, err = io.ReadAll(c)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
		})
	}
}

func TestEndWhileSending(t *testing.T) {
	c, peer := dialPeer(t)
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte(strings.Repeat("x", 16<<20)))
		sent <- err
	}()
	_, err := io.ReadFull(peer, make([]byte, 100))
	assert.NilError(t, err)
	_, err = io.WriteString(peer, "whole")
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "whole")
	assert.Assert(t, <-sent != nil) // the peer reads no more of it
}
