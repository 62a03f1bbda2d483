package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// client is a caller with one kept connection.
type client struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

var requestCount atomic.Int64

func newID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

type answer struct {
	status    int
	body      string
	signature string
	header    http.Header
	err       error
	connected bool
	took      time.Duration
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads its answer, on the kept connection or a new one.
func (c *client) send(method, host, path, id string, key int, body string, deadline time.Duration) answer {
	start := time.Now()
	out := answer{}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			out.err, out.took = err, time.Since(start)
			return out
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	out.connected = true
	_ = c.conn.SetDeadline(start.Add(deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if key >= 0 {
		head += fmt.Sprintf("X-Shard-Key: %d\r\n", key)
	}
	if body != "" || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		c.close()
		out.err, out.took = err, time.Since(start)
		return out
	}
	res, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		out.status, out.body, out.signature, out.header = res.StatusCode, string(data), res.Header.Get("X-Response-Signature"), res.Header
	}
	out.err, out.took = err, time.Since(start)
	if err != nil || res.Close {
		c.close()
	}
	return out
}
