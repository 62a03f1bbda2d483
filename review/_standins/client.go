package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// newRequestID returns an ID that no other attempt has.
func newRequestID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)) }

// client is a client's connection to an entry.
type client struct {
	record *record
	conn   net.Conn
	reader *bufio.Reader
}

// answer is a response that a client has read completely.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	close  bool
}

var errNoAnswer = errors.New("connection ended without a complete answer")

func (d *deployment) dial(p *process) (*client, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{record: d.record, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request, which may follow others that are not answered yet.
func (c *client) send(method, host, path string, deadline time.Duration) (string, error) {
	id := newRequestID()
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 0\r\n"
	}
	c.record.printf("client sends %s: %s %s%s, deadline %d ms", id, method, host, path, deadline.Milliseconds())
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, path, host, id, deadline.Milliseconds(), length)
	return id, err
}

// read reads the next answer.
func (c *client) read(limit time.Duration) (answer, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.printf("client's connection ends: %v", err)
		return answer{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.record.printf("client's connection ends within an answer: %v", err)
		return answer{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	a := answer{id: resp.Header.Get("X-Request-Id"), status: resp.StatusCode, header: resp.Header, body: string(body), close: resp.Close}
	c.record.printf("client gets %d for %s, connection closes: %t, signature %q", a.status, a.id, a.close, resp.Header.Get("X-Response-Signature"))
	return a, nil
}

// request sends one request on a connection of its own and returns its answer.
func (d *deployment) request(p *process, method, host, path string, deadline time.Duration) (answer, error) {
	c, err := d.dial(p)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.conn.Close() }()
	if _, err := c.send(method, host, path, deadline); err != nil {
		return answer{}, err
	}
	return c.read(deadline + time.Second)
}
