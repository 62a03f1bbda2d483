package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bytesConn is a connection on which some bytes arrive.
type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (c bytesConn) Read(p []byte) (int, error)       { return c.reader.Read(p) }
func (c bytesConn) SetWriteDeadline(time.Time) error { return nil }

func newServerConn(reader io.Reader) net.Conn {
	conn, _ := Listener(oneConn{conn: bytesConn{reader: reader}}).Accept()
	return conn
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// Guards against operators' and targets' calls that net/http reads in another way than the grammar.
func TestListenerRejectsInvalidRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	paths := make(chan string, 100)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s", body, r.Trailer.Get("X"))
	})}
	go func() { _ = s.Serve(Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	call := func(t *testing.T, text string) (int, string) {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode, string(body)
	}
	const inner = "DELETE /inner HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, line := range invalidLines {
		t.Run(name, func(t *testing.T) {
			status, _ := call(t, "PUT /outer HTTP/1.1\r\nHost: h"+line+"\r\n\r\n"+inner)
			assert.Assert(t, status == http.StatusBadRequest || status == http.StatusNotImplemented, "status %d", status)
		})
	}
	for len(paths) > 0 {
		assert.Equal(t, <-paths, "none") // no request of these was handled, and none within another one's body
	}
	t.Run("a body with a length", func(t *testing.T) {
		status, body := call(t, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
		assert.Equal(t, fmt.Sprint(status, body), "200hello ")
	})
	t.Run("a body in chunks with a trailer", func(t *testing.T) {
		status, body := call(t, "PUT / HTTP/1.1\r\nHost: h\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nX: 1\r\n\r\n")
		assert.Equal(t, fmt.Sprint(status, body), "200hello 1")
	})
	t.Run("invalid chunks", func(t *testing.T) {
		status, _ := call(t, "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n")
		assert.Equal(t, status, http.StatusBadRequest)
	})
}

// slowReader returns one byte at a time, and a timeout before each.
type slowReader struct {
	data  string
	ready bool
}

func (r *slowReader) Read(p []byte) (int, error) {
	r.ready = !r.ready
	if r.ready {
		return 0, os.ErrDeadlineExceeded
	}
	if r.data == "" {
		return 0, io.EOF
	}
	n := copy(p[:1], r.data)
	r.data = r.data[n:]
	return n, nil
}

// Guards against a request that is lost when a server's read of its connection is interrupted.
func TestVerifierContinuesAfterTimeout(t *testing.T) {
	const text = "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
	c := newServerConn(&slowReader{data: text})
	var got strings.Builder
	for buf := make([]byte, 7); ; {
		n, err := c.Read(buf)
		got.Write(buf[:n])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			assert.Equal(t, err, io.EOF)
			break
		}
	}
	assert.Equal(t, got.String(), text)
}

// Guards against bytes between two requests that become the beginning of the next answer.
func TestClientConnTakesNothingUnasked(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	r, w := io.Pipe()
	c := NewClientConn(bytesConn{reader: r})
	go func() {
		_, _ = io.WriteString(w, answer)
		_, _ = io.WriteString(w, "HTTP/1.1 503 Busy\r\nX: ")
	}()
	c.Expect(http.MethodGet)
	got := make([]byte, len(answer))
	_, err := io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), answer)
	_, err = c.Read(got)
	assertMalformed(t, err)
	c.Expect(http.MethodGet)
	_, err = c.Read(got)
	assertMalformed(t, err)
}

func FuzzListener(f *testing.F) {
	addRequestSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(newServerConn(bytes.NewReader(data)))
		for rest := data; ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return // net/http may reject more
			}
			want, known := grammarRequest(rest)
			assert.Assert(t, known, "read %s %s", req.Method, req.RequestURI)
			assert.Equal(t, req.Method, want.first)
			body, err := io.ReadAll(req.Body)
			if !want.whole {
				assert.Assert(t, err != nil, "accepted body %q", body)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(body, want.body), "%q instead of %q", body, want.body)
			rest = want.rest
		}
	})
}

func FuzzClientConn(f *testing.F) {
	addResponseSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte, isHead bool) {
		method := map[bool]string{true: http.MethodHead, false: http.MethodGet}[isHead]
		c := NewClientConn(bytesConn{reader: bytes.NewReader(data)})
		c.Expect(method)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(r, &http.Request{Method: method})
		}
		if err != nil {
			return
		}
		want, known := grammarResponse(data, method)
		assert.Assert(t, known, "read %s", resp.Status)
		assert.Equal(t, fmt.Sprint(resp.StatusCode), want.first)
		body, err := io.ReadAll(resp.Body)
		if !want.whole {
			assert.Assert(t, err != nil, "accepted body %q", body)
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(body, want.body), "%q instead of %q", body, want.body)
	})
}
