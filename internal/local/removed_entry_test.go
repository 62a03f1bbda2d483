package local_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/local"
)

// withoutInstance returns the configuration without the section of one instance.
func withoutInstance(source, instance string) string {
	before, rest, _ := strings.Cut(source, "[instance "+instance+"]")
	_, after, _ := strings.Cut(rest, "\n\n")
	return before + after
}

// TestRemovedEntryNeitherServesNorBlocksMoves removes an entry from the configuration
// while its process keeps running. The entry must reject all requests, and the keys of
// a crashed owner must still move to another target.
func TestRemovedEntryNeitherServesNorBlocksMoves(t *testing.T) {
	d := startReady(t, local.WithInstances(4, 3))
	assert.NilError(t, d.AcceptConfig(withoutInstance(d.Config, "i4")))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r := send(t, http.MethodGet, callerURL(d, 3)+"/stock/k1", "", nil)
		if r.outcome != "not_run" || r.header.Get("Retry-After") == "" {
			return poll.Continue("%+v", r)
		}
		return poll.Success()
	})
	ownerOf(t, d, "stock", "k1").Kill()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := send(t, http.MethodGet, callerURL(d, 0)+"/stock/k1", "", nil); r.outcome != "done" {
			return poll.Continue("%+v", r)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
}
