package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// TestRareReportsAreNoBurst checks that a steady rate is measured as such however rarely
// entries report it.
func TestRareReportsAreNoBurst(t *testing.T) {
	const rate, key = 40.0, deployment.Key(7)
	for _, interval := range []time.Duration{250 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint(interval), func(t *testing.T) {
			s := newSim(t)
			highest := 0.0
			for range 12 {
				s.now = s.now.Add(interval)
				count := uint32(rate * interval.Seconds())
				s.send(Reported{At: s.now, Report: instance.ReportRequest{
					Instance: "entry", Interval: interval, Keys: []instance.KeyLoad{{Service: testService, Bucket: key, Count: count}},
				}})
				highest = max(highest, s.model.statsOf(testService).rate(int(key)))
			}
			assert.Assert(t, highest <= 1.5*rate, "measured %.0f requests a second", highest)
		})
	}
}

// TestReportsWithoutServiceTimes checks that successes that an entry could not time don't
// change what a target is measured to need for a request.
func TestReportsWithoutServiceTimes(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.tick(time.Millisecond)
	report := func(serviceTime time.Duration) {
		s.now = s.now.Add(250 * time.Millisecond)
		s.send(Reported{At: s.now, Report: instance.ReportRequest{
			Instance: "entry", Targets: []instance.TargetLoad{{ID: incarnation(1).ID, Successes: 10, ServiceTime: 10 * serviceTime}},
		}})
	}
	measured := func() float64 { return s.model.statsOf(testService).serviceTime[incarnation(1).ID] }
	report(80 * time.Millisecond)
	before := measured()
	report(0)
	assert.Equal(t, measured(), before)
	report(160 * time.Millisecond)
	assert.Assert(t, measured() > before)
}
