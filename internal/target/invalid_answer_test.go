package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// listen starts a target that serves each connection with the function, and returns its address.
func listen(t *testing.T, serve func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func newTestClient(t *testing.T) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c, closeIdle := NewClient(timer.NewSystem(ctx))
	t.Cleanup(closeIdle)
	return c
}

// send sends a request and reads the whole answer.
func send(t *testing.T, c *Client, address, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	dest := router.Destination{Target: control.Target{Name: "t", Address: address}, Expiry: c.clock.Now().Add(time.Minute)}
	resp, err := c.Send(ctx, Request{ID: "a", Method: http.MethodPost, URI: "/x", Header: http.Header{}, Body: []byte(body)}, dest, 0)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// answerAll answers each request with the text.
func answerAll(text string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// Guards against bytes of a target in trouble that a caller gets as an answer.
func TestInvalidAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":           "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello",
		"blank within a name":  "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 5\r\n\r\nhello",
		"line feeds alone":     strings.ReplaceAll(wholeAnswer, "\r\n", "\n"),
		"folded field":         "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\nContent-Length: 5\r\n\r\nhello",
		"length and chunks":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"answer within a line": "HTTP/1.1 200 OK\r\nServer: HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			got, err := send(t, newTestClient(t), listen(t, answerAll(text)), "x")
			assert.Assert(t, errors.Is(err, ErrUncertain), "%q %v", got, err)
		})
	}
}

func TestValidAnswersAndGrants(t *testing.T) {
	c, address := newTestClient(t), listen(t, answerAll(wholeAnswer))
	for range 3 {
		got, err := send(t, c, address, "x")
		assert.NilError(t, err)
		assert.Equal(t, got, "hello")
		assert.NilError(t, c.Grant(context.Background(), address, instance.GrantSet{}))
	}
}

// Guards against a part of an answer that counts as the whole one, because the reset that cut it off
// was reported to the upload.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	body := strings.Repeat("x", 16<<20)
	for n := range 20 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			address := listen(t, func(c *net.TCPConn) {
				if _, err := io.ReadFull(c, make([]byte, 100)); err != nil {
					return
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart"); err != nil {
					return
				}
				time.Sleep(time.Duration(n%3) * time.Millisecond)
				_ = c.SetLinger(0)
			})
			got, err := send(t, newTestClient(t), address, body)
			assert.Assert(t, err != nil, "%q", got)
		})
	}
}
