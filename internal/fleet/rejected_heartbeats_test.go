package fleet

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Guards against a writer whose rejected heartbeats fill the log.
func TestRejectedHeartbeatsAreLoggedOnceASecond(t *testing.T) {
	var out bytes.Buffer
	clock := timer.NewManual()
	c := &Control{log: log.New(&out), clock: clock}
	reject := func(n int) {
		for range n {
			c.HeartbeatRejected("i", errors.New("version must be given"))
		}
	}
	reject(100)
	assert.Equal(t, strings.Count(out.String(), "heartbeat rejected"), 1)
	clock.Advance(rejectedLogPeriod)
	reject(100)
	assert.Equal(t, strings.Count(out.String(), "heartbeat rejected"), 2)
	assert.Assert(t, strings.Contains(out.String(), "others=99"), out.String())
	assert.Equal(t, c.rejectedHeartbeats.count.Load(), uint64(200))
}
