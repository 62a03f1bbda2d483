package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

const (
	verifyBufferBytes = 4 << 10
	// maxVerifiedHead bounds the heads that a verifier takes. It is above the bounds of net/http,
	// which has a response for heads that are too large.
	maxVerifiedHead = 2 << 20
)

// verifier reads messages from a connection and passes on those that are valid, for a reader of
// net/http behind it. A body in chunks is written anew, so that both see the same end of it.
type verifier struct {
	reader *bufio.Reader
	// parse checks a message's start line and fields, and returns the length of its body.
	parse func(text string) (int64, error)
	// due reports whether a message is due, once its first byte has arrived; nil if any may come.
	due func() bool

	head head
	body io.Reader // nil between messages
	out  []byte    // checked and not yet read
	err  error
}

// Read reads the checked bytes. After a timeout it may be called again.
func (v *verifier) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for len(v.out) == 0 {
		if v.err != nil {
			return 0, v.err
		}
		n, err := v.advance(p)
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			v.err = err
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
	n := copy(p, v.out)
	v.out = v.out[n:]
	return n, nil
}

// advance reads the next part of a message: a head and chunks into out, another body into p.
func (v *verifier) advance(p []byte) (int, error) {
	if v.body == nil {
		return 0, v.readHead()
	}
	chunked, ok := v.body.(*chunkedBody)
	if !ok {
		n, err := v.body.Read(p)
		if _, endless := v.body.(*bufio.Reader); errors.Is(err, io.EOF) && !endless {
			v.body, err = nil, nil
		}
		return n, err
	}
	var data [verifyBufferBytes]byte
	n, err := chunked.Read(data[:])
	if n > 0 {
		v.out = fmt.Appendf(nil, "%x\r\n%s\r\n", n, data[:n])
	}
	if errors.Is(err, io.EOF) {
		v.out, v.body, err = fmt.Appendf(v.out, "0\r\n%s\r\n", chunked.trailer), nil, nil
	}
	return 0, err
}

func (v *verifier) readHead() error {
	if v.due != nil {
		// Bytes that arrive between two requests may be the beginning of a response to neither.
		if _, err := v.reader.Peek(1); err != nil {
			return err
		}
		if !v.due() {
			return malformed("bytes without a request")
		}
	}
	text, err := v.head.read(v.reader, maxVerifiedHead)
	if err != nil {
		return err
	}
	length, err := v.parse(text)
	if err != nil {
		return err
	}
	v.out = append([]byte(text), lineEnd...)
	if length != 0 {
		v.body = newBody(v.reader, length)
	}
	return nil
}

// Listener returns a listener for a server of net/http, which answers 400 to what is no valid
// request and closes the connection.
func Listener(l net.Listener) net.Listener { return &listener{Listener: l} }

type listener struct{ net.Listener }

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: raw, verifier: verifier{reader: bufio.NewReaderSize(raw, verifyBufferBytes), parse: requestLength}}, nil
}

func requestLength(text string) (int64, error) {
	req, err := parseRequest(text)
	if err != nil {
		return 0, err
	}
	return req.ContentLength, nil
}

// serverConn is a connection of a Listener.
type serverConn struct {
	net.Conn
	verifier verifier
}

// Read reads requests.
func (c *serverConn) Read(p []byte) (int, error) { return c.verifier.Read(p) }

// CloseWrite closes the write side, which lets a last response arrive before the connection ends.
func (c *serverConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// ClientConn is a connection for a client of net/http that passes only valid responses on, and
// none without a request.
type ClientConn struct {
	*Conn
	verifier verifier
	mu       sync.Mutex
	method   string // of the request whose response is due; empty if none is
}

// NewClientConn returns a connection that owns raw.
func NewClientConn(raw net.Conn) *ClientConn {
	c := &ClientConn{Conn: NewConn(raw)}
	c.verifier = verifier{reader: bufio.NewReaderSize(c.Conn, verifyBufferBytes), parse: c.responseLength, due: func() bool { return c.expected() != "" }}
	return c
}

// Expect announces a request with the method, before it is written.
func (c *ClientConn) Expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.method = method
}

func (c *ClientConn) expected() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.method
}

// Read reads responses.
func (c *ClientConn) Read(p []byte) (int, error) { return c.verifier.Read(p) }

func (c *ClientConn) responseLength(text string) (int64, error) {
	resp, err := parseResponse(text, c.expected())
	if err != nil {
		return 0, err
	}
	if resp.Status >= http.StatusOK {
		c.Expect("")
	}
	return resp.ContentLength, nil
}
