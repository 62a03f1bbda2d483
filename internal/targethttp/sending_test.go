package targethttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadTo sends a request with a body of n bytes.
func uploadTo(t *testing.T, p *Pool, address, id string, n int) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return p.Do(ctx, address, 4, idHeader, Request{
		Method: http.MethodPost, ID: id, NonIdempotent: true, Body: make([]byte, n),
		Head: func() []byte {
			return fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", idHeader, id, n)
		},
	})
}

// manyBytes is the length of a body that fits into no send buffer.
const manyBytes = 16 << 20

// TestEarlyResponse guards against holding back a response that comes before the body was
// read, and against sending another request where the target expects the rest of the body.
func TestEarlyResponse(t *testing.T) {
	t.Run("a target that does not read on", func(t *testing.T) {
		requests := make(chan string, 4)
		address := listenRaw(t, func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			requests <- r.Header.Get(idHeader)
			write(c, rawResponse(r.Header.Get(idHeader), "early"))
			time.Sleep(time.Second)
		})
		p := newTestPool(t)
		start := time.Now()
		for _, id := range []string{"one", "two"} {
			resp, err := uploadTo(t, p, address, id, manyBytes)
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "early")
			assert.Assert(t, !resp.Reused)
			assert.Equal(t, <-requests, id)
			time.Sleep(2 * restTime)
		}
		assert.Assert(t, time.Since(start) < time.Second, "the response was held back for %v", time.Since(start))
	})
	t.Run("a target that reads on gets the rest, and then other requests", func(t *testing.T) {
		const n = 1 << 20
		address := listenRaw(t, func(c net.Conn) {
			for reader := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				write(c, rawResponse(r.Header.Get(idHeader), "early"))
				if got, err := io.Copy(io.Discard, r.Body); err != nil || got != n {
					return
				}
			}
		})
		p := newTestPool(t)
		reused := 0
		for i := range 20 {
			resp, err := uploadTo(t, p, address, fmt.Sprint(i), n)
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "early")
			if resp.Reused {
				reused++
			}
			time.Sleep(2 * restTime)
		}
		assert.Assert(t, reused >= 15, "%d of 20 reused a connection", reused)
	})
	t.Run("a target that neither reads nor answers", func(t *testing.T) {
		address := listenRaw(t, func(net.Conn) { time.Sleep(3 * time.Second) })
		_, err := uploadTo(t, newTestPool(t), address, "one", manyBytes)
		assert.Assert(t, errors.Is(err, ErrTimeout), "%v", err)
	})
}
