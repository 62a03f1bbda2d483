package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// publish sends the entry an update of its view, and waits until it has it.
func (e *testEntry) publish(u *instance.ViewUpdate) {
	e.t.Helper()
	e.newest.Store(u.ConfigIndex)
	e.further <- u
	e.awaitView(u.Version)
}

// awaitView waits until the entry's view has the version.
func (e *testEntry) awaitView(version uint64) {
	e.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); e.server.cfg.View.View().Version < version; time.Sleep(time.Millisecond) {
		assert.Assert(e.t, time.Now().Before(deadline), "the entry did not receive the view")
	}
}

// Guards against requests that are sent by the route that admitted them after the route was dropped.
func TestRequestThatWaitedIsNotSentByReplacedConfig(t *testing.T) {
	e := startEntry(t, nil, respondOK("old"))
	moving := []deployment.KeyTable{{Service: "shelf", Changed: 2, Ranges: []deployment.Range{
		{To: deployment.MaxKey, Phase: deployment.Releasing, Target: "t0", StartMillis: 1, Fence: 1},
	}}}
	e.publish(&instance.ViewUpdate{Version: 2, ConfigIndex: 1, Current: true, Tables: moving})
	c := e.request(http.MethodGet, "/keyed/1")
	time.Sleep(oldOwnerDelay / 3) // the request waits for the key's next owner
	dropped := &deployment.ConfigChange{Version: 2, Base: 1, DropRoutes: []string{"keyed"}}
	e.publish(&instance.ViewUpdate{Version: 3, ConfigIndex: 2, ConfigBase: 1, Current: true, ConfigChange: dropped})
	resp, _, err := c.readBody()
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, len(e.received), 0, "requests that reached a target")
}

// Guards against an entry that never hears of a newer configuration and serves by its own for good.
func TestUnconfirmedConfigIsNotServed(t *testing.T) {
	e := startEntry(t, nil, respondOK("old"))
	e.unconfirmed.Store(true) // the control instance keeps sending its view
	limit := time.Now().Add(testConfigApply + time.Second)
	for {
		resp, _, err := e.request(http.MethodGet, "/look/1").readBody()
		assert.NilError(t, err)
		if resp.StatusCode == http.StatusServiceUnavailable {
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
			return
		}
		assert.Assert(t, time.Now().Before(limit), "still served by a configuration that nobody confirms")
		time.Sleep(20 * time.Millisecond)
	}
}
