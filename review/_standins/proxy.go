package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on. Those that are open when silence is called go silent for good:
// they stay open, and nothing passes any more. Later ones work.
type proxy struct {
	listener net.Listener
	backend  string

	mu    sync.Mutex
	conns []*proxied
}

// proxied is one connection through the proxy.
type proxied struct {
	mu     sync.Mutex
	silent bool
	opened time.Time
	ends   [2]net.Conn
}

// startProxy starts a proxy that listens on one address and passes connections on to another.
func startProxy(address, backend string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p := &proxy{listener: l, backend: backend}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) serve(front net.Conn) {
	back, err := net.DialTimeout("tcp", p.backend, time.Second)
	if err != nil {
		if tcp, ok := front.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as a port without a listener does
		}
		_ = front.Close()
		return
	}
	c := &proxied{opened: time.Now(), ends: [2]net.Conn{front, back}}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	go c.pass(back, front)
	c.pass(front, back)
}

// pass copies bytes until one side ends. A silent connection reads on and drops the bytes; the
// end of one side is not told to the other.
func (c *proxied) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.Close()
				return
			}
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// silence makes the connections silent that were opened after a moment, and returns how many were not silent before.
func (p *proxy) silence(after time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.conns {
		if c.opened.Before(after) {
			continue
		}
		c.mu.Lock()
		if !c.silent {
			n++
		}
		c.silent = true
		c.mu.Unlock()
	}
	return n
}
