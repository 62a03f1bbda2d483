package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUnavailableTime(t *testing.T) {
	m := newMetrics()
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, x := range []struct {
		good bool
		ms   int
	}{{true, 0}, {false, 10}, {false, 20}, {true, 50}, {true, 60}, {false, 100}, {true, 105}} {
		m.observeAvailability("stock", x.good, at(x.ms))
	}
	assert.Equal(t, m.unavailable.Get("stock").String(), "45000")
}
