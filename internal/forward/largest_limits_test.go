package forward

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// Guards against a limit of the largest number, which operators write for no limit: a sum or
// multiple of it overflows, and requests end their entry or are refused.
func TestLargestLimits(t *testing.T) {
	largest := deployment.CallerLimits{HeaderBytes: math.MaxInt, BodyBytes: math.MaxInt, HeaderTimeout: math.MaxInt64, IdleTimeout: math.MaxInt64}
	for name, limits := range map[string]deployment.CallerLimits{
		"header bytes":   {HeaderBytes: math.MaxInt, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		"body bytes":     {HeaderBytes: 1 << 14, BodyBytes: math.MaxInt, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		"times":          {HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: math.MaxInt64, IdleTimeout: math.MaxInt64},
		"all":            largest,
		"all but a page": {HeaderBytes: math.MaxInt - readBufferBytes, BodyBytes: math.MaxInt - readBufferBytes, HeaderTimeout: math.MaxInt64 - 1, IdleTimeout: math.MaxInt64 - 1},
		"half":           {HeaderBytes: math.MaxInt/2 + 1, BodyBytes: math.MaxInt/2 + 1, HeaderTimeout: math.MaxInt64/2 + 1, IdleTimeout: math.MaxInt64/2 + 1},
	} {
		t.Run(name, func(t *testing.T) {
			other := startEntry(t, nil, readAllOK)
			e := startEntry(t, nil, readAllOK)
			change := deployment.ConfigChange{Version: 2, Limits: &limits}
			for _, x := range []*testEntry{other, e} {
				x.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 2, Current: true, ConfigChange: &change})
			}
			wantBodies(t, e)
			e.cut()
			e.server.peers.Advise([]instance.Peer{{Address: other.relay, AvailabilityZone: "a"}})
			wantBodies(t, e)
		})
	}
}

// wantBodies checks that requests without a body, with one in chunks and with one of a
// declared length are served, on one connection.
func wantBodies(t *testing.T, e *testEntry) {
	t.Helper()
	c := dial(t, e.address)
	c.send("GET /look/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n")
	wantResponse(t, c, http.StatusOK, "0")
	c.send("POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	wantResponse(t, c, http.StatusOK, "5")
	c.send("POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nContent-Length: 5\r\n\r\nhello")
	wantResponse(t, c, http.StatusOK, "5")
	c.send(fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 4\r\nContent-Length: %d\r\n\r\n", math.MaxInt64))
	resp, _, err := c.readBody()
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode == http.StatusRequestEntityTooLarge || resp.StatusCode == http.StatusServiceUnavailable, "status %d", resp.StatusCode)
}

// Guards against a deadline that overflows, so that it seems to have passed.
func TestLargestDeadline(t *testing.T) {
	e := startEntry(t, nil, respondOK("hello"))
	for _, ms := range []string{"9223372036854775807", "9223372036855", "18446744073709551616", "-9223372036854775808"} {
		t.Run(ms, func(t *testing.T) {
			c := dial(t, e.address)
			c.send(fmt.Sprintf("GET /look/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline: %s\r\n\r\n", ms))
			wantResponse(t, c, http.StatusOK, "hello")
		})
	}
}

// Guards against weights whose sum is infinite, after which one service gets all requests.
func TestLargestWeights(t *testing.T) {
	s := newSplitter()
	route := deployment.Route{Name: "r", Split: []deployment.WeightedService{{Service: "a", Weight: math.MaxFloat64}, {Service: "b", Weight: math.MaxFloat64}}}
	counts := make(map[string]int)
	for range 100 {
		name, ok := s.next(&route)
		assert.Assert(t, ok)
		counts[name]++
	}
	assert.Equal(t, counts["a"], 50)
	assert.Equal(t, counts["b"], 50)
}
