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

// refusal is a response that says that the request with the ID did not run; an empty ID is left out.
func refusal(id string) string {
	header := ""
	if id != "" {
		header = idHeader + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Busy\r\n" + header + "Not-Run: yes\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a refusal that is written once more on a kept connection and taken for the answer to the next request.
func TestRepeatedRefusalIsNotTakenForAnotherRequest(t *testing.T) {
	// The target refuses the first request. While it serves the second one, it repeats a refusal.
	repeat := func(id string) handler {
		return func(n int, c net.Conn, r *http.Request) bool {
			if n == 1 {
				return write(c, refusal(r.Header.Get(idHeader)))
			}
			write(c, refusal(id))
			time.Sleep(20 * time.Millisecond)
			return write(c, rawResponse(r.Header.Get(idHeader), "served"))
		}
	}
	for name, x := range map[string]struct {
		repeated, second string // IDs of the repeated refusal and of the second request
		between          bool   // another request is sent between the two
	}{
		"without an ID":                         {repeated: "", second: "two"},
		"with the ID of another request":        {repeated: "one", second: "two"},
		"with the ID of the attempt before":     {repeated: "one", second: "one"},
		"with the ID of an attempt before that": {repeated: "one", second: "one", between: true},
	} {
		t.Run(name, func(t *testing.T) {
			p, address := newTestPool(t), listen(t, repeat(x.repeated))
			first, err := do(t, p, address, "one")
			assert.NilError(t, err)
			assert.Equal(t, first.Status, http.StatusServiceUnavailable)
			if x.between {
				_, err = do(t, p, address, "between") // on the kept connection
				assert.NilError(t, err)
			}
			second, err := do(t, p, address, x.second)
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
				return
			}
			assert.Assert(t, second.Status == http.StatusOK || !second.Reused, "status %d on a kept connection", second.Status)
		})
	}
}

// Guards against a retry without a connection while those that are kept may not be used for it.
func TestRetryReplacesKeptConnection(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, r *http.Request) bool { return write(c, refusal(r.Header.Get(idHeader))) })
	p := newTestPool(t)
	for n := range 5 {
		resp, err := do(t, p, address, "one") // at most two connections
		assert.NilError(t, err)
		assert.Assert(t, !resp.Reused, "attempt %d", n)
	}
	resp, err := do(t, p, address, "two")
	assert.NilError(t, err)
	assert.Assert(t, resp.Reused)
}

// Guards against a response whose head is cut off and that is passed on as a complete one.
func TestResponseCutInItsHead(t *testing.T) {
	whole := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nSignature: s\r\nConnection: close\r\n\r\n",
	}
	for name, head := range whole {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				cut := head[:n]
				for _, end := range []string{"", "\r", "\n", "\r\n"} {
					if strings.HasPrefix(head, cut+end) && end != "" {
						continue // a shorter cut of the same head
					}
					if strings.HasSuffix(cut+end, "\r\n\r\n") || strings.HasSuffix(cut+end, "\n\n") || strings.HasSuffix(cut+end, "\n\r\n") {
						continue // the head ends, with fewer fields
					}
					p := newTestPool(t)
					_, err := do(t, p, listen(t, func(_ int, c net.Conn, _ *http.Request) bool { write(c, cut+end); return false }), "a")
					assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%s: %v", fmt.Sprintf("%q", cut+end), err)
				}
			}
		})
	}
}
