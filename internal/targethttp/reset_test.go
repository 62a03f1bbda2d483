package targethttp

import (
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
)

// Guards against a part of an answer that counts as the whole one, because the reset that cut it off
// was reported to the upload.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	body := []byte(strings.Repeat("x", 16<<20))
	for n := range 30 {
		delay := []time.Duration{0, time.Millisecond, 20 * time.Millisecond}[n%3]
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			address := listenRaw(t, func(c net.Conn) {
				if _, err := io.ReadFull(c, make([]byte, 100)); err != nil {
					return
				}
				write(c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\npart")
				time.Sleep(delay)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp, err := newTestPool(t).Do(ctx, address, 1, idHeader, Request{
				Method: http.MethodPost, ID: "a", Body: body, NonIdempotent: true,
				Head: func() []byte {
					return fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
				},
			})
			assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v %v", resp, err)
		})
	}
}
