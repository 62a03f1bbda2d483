package targethttp

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bytes of a target in trouble that a caller gets as an answer, as a line of one,
// or as a body that is not the target's.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	const fields = "Request-Id: mine\r\nContent-Length: 5\r\n\r\nhello"
	for name, text := range map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n" + fields,
		"status 000 before an answer": "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + fields,
		"status 999":                  "HTTP/1.1 999 OK\r\n" + fields,
		"unasked switch":              "HTTP/1.1 101 Switching Protocols\r\n" + fields,
		"blank within a name":         "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + fields,
		"blank before a colon":        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n" + fields,
		"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n" + fields,
		"line feed before a name":     "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\nX-A: b\r\nContent-Length: 2\r\n\r\nok",
		"line feeds alone":            strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields, "\r\n", "\n"),
		"control byte in a value":     "HTTP/1.1 200 OK\r\nX: \x01\r\n" + fields,
		"folded field":                "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n" + fields,
		"two IDs":                     "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nRequest-Id: another\r\nContent-Length: 5\r\n\r\nhello",
		"length and chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields,
		"blank in a trailer's name":   "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: 1\r\n\r\n",
		"answer within a field":       "HTTP/1.1 503 Busy\r\nNot-Run: yes\r\nServer: sHTTP/1.1 200 OK\r\n" + fields,
		"answer within a reason":      "HTTP/1.1 503 BuHTTP/1.1 200 OK\r\n" + fields,
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(_ int, c net.Conn, _ *http.Request) bool { write(c, text); return false })
			resp, err := do(t, newTestPool(t), address, "mine")
			assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v %v", resp, err)
			assert.Assert(t, !errors.Is(err, ErrNotSent), "%v", err)
		})
	}
}

// Guards against a refusal that breaks off behind an answer, and makes one head with the answer to the next
// request on the connection.
func TestPartsOfRefusalMakeNoResponse(t *testing.T) {
	const stray = "HTTP/1.1 503 Busy\r\nNot-Run: yes\r\nServer: s\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n"
	for n := 1; n < len(stray); n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			address := listen(t, func(k int, c net.Conn, r *http.Request) bool {
				if k > 1 {
					write(c, stray[:n])
					time.Sleep(time.Millisecond)
				}
				return write(c, rawResponse(r.Header.Get(idHeader), "served"))
			})
			p := newTestPool(t)
			_, err := do(t, p, address, "first")
			assert.NilError(t, err)
			resp, err := do(t, p, address, "second")
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrIncompleteResponse) && !errors.Is(err, ErrNotSent), "%v", err)
				return
			}
			assert.Equal(t, resp.Status, http.StatusOK)
			assert.Equal(t, string(resp.Body), "served")
			assert.Equal(t, resp.Header.Get("Not-Run"), "")
		})
	}
}
