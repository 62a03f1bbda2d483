package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestThatOutlastsShutdown checks that a request which may take longer than the
// shutdown is rejected at once instead of being cut off.
func TestRequestThatOutlastsShutdown(t *testing.T) {
	e := startEntry(t, nil, respondOK("x"))
	shutDown := func(limit time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		t.Cleanup(cancel)
		go func() { _ = e.server.Shutdown(ctx) }()
		for !e.server.isStopping() {
			time.Sleep(time.Millisecond)
		}
	}
	statusWithin := func(deadline time.Duration) int {
		c := dial(t, e.address)
		c.send(fmt.Sprintf("GET /look/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline: %d\r\n\r\n", deadline.Milliseconds()))
		resp, _, err := c.readBody()
		assert.NilError(t, err)
		assert.Assert(t, resp.Close)
		return resp.StatusCode
	}
	e.holdUpShutdown()
	shutDown(700 * time.Millisecond)
	assert.Equal(t, statusWithin(200*time.Millisecond), http.StatusOK)
	assert.Equal(t, statusWithin(time.Second), http.StatusServiceUnavailable)
}
