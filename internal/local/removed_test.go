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

// without returns the configuration without one instance's section.
func without(source, instance string) string {
	before, rest, _ := strings.Cut(source, "[instance "+instance+"]")
	_, after, _ := strings.Cut(rest, "\n\n")
	return before + after
}

// TestRemovedEntryBlocksNothing takes an entry out of the configuration while its
// process runs on. It must serve no one, and a lost owner's keys must still move.
func TestRemovedEntryBlocksNothing(t *testing.T) {
	d := startReady(t, local.WithInstances(4, 3))
	assert.NilError(t, d.Accept(without(d.Config, "i4")))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r := send(t, http.MethodGet, callerOf(d, 3)+"/stock/k1", "", nil)
		if r.outcome != "not_run" || r.header.Get("Retry-After") == "" {
			return poll.Continue("%+v", r)
		}
		return poll.Success()
	})
	targetOf(t, d, "stock", "k1").Kill()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := send(t, http.MethodGet, callerOf(d, 0)+"/stock/k1", "", nil); r.outcome != "done" {
			return poll.Continue("%+v", r)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
}
