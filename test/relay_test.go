package test

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards TCP connections to an instance. It can discard the bytes of either
// direction while connections stay open, as a silent network partition does.
type relay struct {
	backend string

	mu      sync.Mutex
	dropIn  bool // discard bytes to the instance
	dropOut bool // discard bytes from the instance
	conns   []net.Conn
}

func startRelay(t testing.TB, address, backend string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{backend: backend}
	go r.accept(l)
	return r
}

func (r *relay) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.backend)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.pipe(out, in, func() bool { return r.dropIn })
		go r.pipe(in, out, func() bool { return r.dropOut })
	}
}

func (r *relay) pipe(to, from net.Conn, dropped func() bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		drop := dropped()
		r.mu.Unlock()
		if !drop && n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}

// drop sets whether bytes to and from the instance are discarded.
func (r *relay) drop(in, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropIn, r.dropOut = in, out
}

// heal ends the partition. It closes all connections, since bytes of their streams may
// be lost; the peers reconnect.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropIn, r.dropOut = false, false
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}
