package targethttp

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

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const idHeader = "Request-Id"

// handler writes raw bytes in response to the n-th request on a connection. It
// returns false to close the connection afterwards.
type handler func(n int, c net.Conn, r *http.Request) bool

// listen starts a target that passes the requests of each connection to the handler,
// and returns its address.
func listen(t *testing.T, handle handler) string {
	return listenRaw(t, func(c net.Conn) { serve(c, handle) })
}

// listenRaw starts a target that serves each connection with the function, and closes it then.
func listenRaw(t *testing.T, serve func(c net.Conn)) string {
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
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

func serve(c net.Conn, handle handler) {
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !handle(n, c, r) {
			return
		}
	}
}

func rawResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func newTestPool(t *testing.T) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p, closePool := NewPool(timer.NewSystem(ctx))
	t.Cleanup(closePool)
	return p
}

func do(t *testing.T, p *Pool, address, id string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	head := fmt.Sprintf("GET /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", idHeader, id)
	return p.Do(ctx, address, 2, idHeader, Request{Method: http.MethodGet, Head: func() []byte { return []byte(head) }, ID: id})
}

func TestExchange(t *testing.T) {
	cases := []struct {
		name   string
		handle handler
		body   string // of the response
		err    error
	}{
		{name: "complete response", handle: func(_ int, c net.Conn, r *http.Request) bool {
			return write(c, rawResponse(r.Header.Get(idHeader), "hello"))
		}, body: "hello"},
		{name: "stale response before the right one", handle: func(_ int, c net.Conn, r *http.Request) bool {
			return write(c, rawResponse("another", "old")+rawResponse(r.Header.Get(idHeader), "hello"))
		}, body: "hello"},
		{name: "only a stale response", handle: func(_ int, c net.Conn, _ *http.Request) bool {
			write(c, rawResponse("another", "old"))
			return false
		}, err: ErrIncompleteResponse},
		{name: "truncated body", handle: func(_ int, c net.Conn, r *http.Request) bool {
			write(c, strings.Replace(rawResponse(r.Header.Get(idHeader), "hello"), "hello", "he", 1))
			return false
		}, err: ErrIncompleteResponse},
		{name: "response without a length, connection closed cleanly", handle: func(_ int, c net.Conn, r *http.Request) bool {
			write(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\n\r\nhello")
			return false
		}, body: "hello"},
		{name: "response without a length, connection reset", handle: func(_ int, c net.Conn, r *http.Request) bool {
			write(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\n\r\nhello")
			time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, err: ErrIncompleteResponse},
		{name: "malformed response", handle: func(_ int, c net.Conn, _ *http.Request) bool {
			return write(c, "\x00\x01 nonsense\r\n\r\n")
		}, err: ErrIncompleteResponse},
		{name: "no response before the timeout", handle: func(int, net.Conn, *http.Request) bool { return true }, err: ErrTimeout},
		{name: "connection closed without a response", handle: func(int, net.Conn, *http.Request) bool { return false }, err: ErrIncompleteResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, err := do(t, newTestPool(t), listen(t, c.handle), "mine")
			if c.err != nil {
				assert.Assert(t, errors.Is(err, c.err), "%v", err)
				assert.Assert(t, !errors.Is(err, ErrNotSent), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(a.Body), c.body)
		})
	}
}

func TestConnectionReuse(t *testing.T) {
	t.Run("a late duplicate response is skipped", func(t *testing.T) {
		address := listen(t, func(n int, c net.Conn, r *http.Request) bool {
			id := r.Header.Get(idHeader)
			if n == 1 {
				return write(c, rawResponse(id, "first"))
			}
			return write(c, rawResponse("first-id", "again")+rawResponse(id, "second"))
		})
		p := newTestPool(t)
		a, err := do(t, p, address, "first-id")
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "first")
		a, err = do(t, p, address, "second-id")
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "second")
		assert.Assert(t, a.Reused)
	})
	t.Run("a connection that its target closed is not reused", func(t *testing.T) {
		closed := make(chan struct{})
		address := listen(t, func(_ int, c net.Conn, r *http.Request) bool {
			write(c, rawResponse(r.Header.Get(idHeader), "once"))
			_ = c.Close()
			closed <- struct{}{}
			return false
		})
		p := newTestPool(t)
		for _, id := range []string{"one", "two"} {
			a, err := do(t, p, address, id)
			assert.NilError(t, err)
			assert.Assert(t, !a.Reused)
			<-closed
			time.Sleep(10 * time.Millisecond) // lets the close arrive
		}
	})
	t.Run("an idle connection takes no time to connect", func(t *testing.T) {
		address := listen(t, func(_ int, c net.Conn, r *http.Request) bool {
			return write(c, rawResponse(r.Header.Get(idHeader), "hello"))
		})
		p := newTestPool(t)
		p.recordConnectTime(time.Second)
		assert.Assert(t, p.ExpectedConnectTime(address) > 0)
		_, err := do(t, p, address, "one")
		assert.NilError(t, err)
		assert.Equal(t, p.ExpectedConnectTime(address), time.Duration(0))
		assert.Assert(t, p.ExpectedConnectTime("127.0.0.1:1") > 0)
	})
	t.Run("a request that is no longer allowed after connecting is not sent", func(t *testing.T) {
		requests := make(chan struct{}, 1)
		address := listen(t, func(_ int, c net.Conn, r *http.Request) bool {
			requests <- struct{}{}
			return write(c, rawResponse(r.Header.Get(idHeader), "hello"))
		})
		p := newTestPool(t)
		r := Request{Method: http.MethodPost, Head: func() []byte { return []byte("POST /x HTTP/1.1\r\nHost: h\r\n\r\n") }, Allowed: func() bool { return false }}
		_, err := p.Do(t.Context(), address, 2, idHeader, r)
		assert.Assert(t, errors.Is(err, ErrNotSent))
		assert.Assert(t, errors.Is(err, ErrNotAllowed))
		assert.Equal(t, len(requests), 0)
	})
	t.Run("a refused connection reports that nothing was sent", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		_, err = do(t, newTestPool(t), address, "one")
		assert.Assert(t, errors.Is(err, ErrNoConnection))
		assert.Assert(t, errors.Is(err, ErrNotSent))
	})
}

// TestHeadIsMadeOnTheOpenConnection guards against a head that states the time left
// before a connection was opened.
func TestHeadIsMadeOnTheOpenConnection(t *testing.T) {
	var events []string
	request := Request{
		Method:  http.MethodGet,
		Head:    func() []byte { events = append(events, "head"); return []byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n") },
		Allowed: func() bool { events = append(events, "connected"); return true },
		ID:      "a",
	}
	t.Run("after the connection was opened", func(t *testing.T) {
		address := listen(t, func(_ int, c net.Conn, _ *http.Request) bool { return write(c, rawResponse("a", "x")) })
		_, err := newTestPool(t).Do(t.Context(), address, 1, idHeader, request)
		assert.NilError(t, err)
		assert.DeepEqual(t, events, []string{"connected", "head"})
	})
	t.Run("not without a connection", func(t *testing.T) {
		events = nil
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
		_, err = newTestPool(t).Do(t.Context(), l.Addr().String(), 1, idHeader, request)
		assert.Assert(t, errors.Is(err, ErrNoConnection))
		assert.Equal(t, len(events), 0)
	})
}

// TestBodyWithoutLength reads bodies whose response does not say how long they are.
func TestBodyWithoutLength(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", bodyChunkBytes/8)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	get := func(text string) (*Response, error) {
		p := newTestPool(t)
		resp, err := do(t, p, listen(t, func(_ int, c net.Conn, _ *http.Request) bool { write(c, text); return false }), "a")
		if err == nil {
			// The body stays in use until the response is closed.
			assert.Equal(t, p.bodies.held, len(resp.Body))
			resp.Close()
			resp.Close()
		}
		assert.Equal(t, p.bodies.held, 0)
		return resp, err
	}
	t.Run("complete", func(t *testing.T) {
		resp, err := get(head + chunk + chunk + "0\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), body+body)
	})
	t.Run("empty", func(t *testing.T) {
		resp, err := get(head + "0\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, len(resp.Body), 0)
	})
	t.Run("broken off", func(t *testing.T) {
		for _, text := range []string{head + chunk, head + chunk + chunk[:100], head + chunk[:len(chunk)/2]} {
			_, err := get(text)
			assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
		}
	})
}

// Guards against an idle timeout that overflows, so that no connection is kept.
func TestLargestIdleTimeout(t *testing.T) {
	for _, seconds := range []string{"9223372036854775807", "10000000000", "9223372036"} {
		t.Run(seconds, func(t *testing.T) {
			address := listen(t, func(_ int, c net.Conn, _ *http.Request) bool {
				return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nKeep-Alive: timeout=%s\r\nContent-Length: 0\r\n\r\n", seconds))
			})
			p := newTestPool(t)
			for n := range 2 {
				resp, err := do(t, p, address, "a")
				assert.NilError(t, err)
				assert.Equal(t, resp.Reused, n > 0)
			}
		})
	}
}
