package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// recoveryTime is the time within which requests have to be served again after a fault.
const recoveryTime = 15 * time.Second

// TestOwnerThatWasSlowIsTriedAgain guards against an entry that rejects all requests for an idle
// owner, since no answer corrects its estimate.
func TestOwnerThatWasSlowIsTriedAgain(t *testing.T) { assertTriedAgain(t, "/keyed/x") }

// TestTargetThatWasSlowIsTriedAgain is the same for the only target of a service without keys.
func TestTargetThatWasSlowIsTriedAgain(t *testing.T) { assertTriedAgain(t, "/look/x") }

// assertTriedAgain checks that a request is served some time after the target was slow.
func assertTriedAgain(t *testing.T, path string) {
	t.Helper()
	e := startEntry(t, nil, respondOK("x"))
	target, _ := e.server.cfg.View.View().Target("t0")
	e.server.targets.mu.Lock()
	s := e.server.targets.state(target)
	s.serviceTime, s.samples = time.Second.Seconds(), 1
	e.server.targets.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, body, err := e.request("GET", path).readBody()
		if err != nil {
			return poll.Error(err)
		}
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s", fmt.Sprint(resp.StatusCode, " ", body))
		}
		return poll.Success()
	}, poll.WithTimeout(recoveryTime), poll.WithDelay(50*time.Millisecond))
}
