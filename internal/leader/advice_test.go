package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// maxAdviceBytes bounds the advice for a handful of overloaded targets. Sent four times a
// second it takes 2% of the narrowest link (1.5 Mbit/s).
const maxAdviceBytes = 1000

// TestOverloadAdviceStaysSmall guards against advice that grows with the ranges of
// overloaded targets. With thousands of ranges it filled the links of entries.
func TestOverloadAdviceStaysSmall(t *testing.T) {
	s := newSim(t)
	for n := 1; n <= 4; n++ {
		s.announce(n, nil)
	}
	s.settle(1, 2, 3, 4)
	splitRanges(s)
	reportEvenly(s, 1000) // the targets serve 240 a second
	assert.Assert(t, len(s.ranges()) > 100, "%d ranges", len(s.ranges()))
	t.Run("one item for each target", func(t *testing.T) {
		assert.Equal(t, len(s.advice.OverloadedOwners), 4)
		assert.Equal(t, len(s.advice.Overloads), 0)
	})
	t.Run("the share is what the target can serve", func(t *testing.T) {
		for _, o := range s.advice.OverloadedOwners {
			assert.Assert(t, o.Share > 0.2 && o.Share < 0.5, "share %.2f", o.Share)
		}
	})
	t.Run("size", func(t *testing.T) {
		size := len(wire.Encode(s.advice))
		assert.Assert(t, size <= maxAdviceBytes, "%d bytes", size)
	})
}

// splitRanges divides the key space into one range for each sixteenth bucket, which keep
// their owners.
func splitRanges(s *sim) {
	var parts []deployment.Assignment
	for _, r := range s.ranges() {
		ref := deployment.RangeRef{Service: testService, From: r.From, To: r.To, Fence: r.Fence}
		for _, part := range split(ref, 40) {
			parts = append(parts, deployment.Assignment{Range: part, To: deployment.Incarnation{ID: r.Target, StartMillis: r.StartMillis}})
		}
	}
	s.commit(deployment.Command{Assign: &deployment.Assign{Ranges: parts}})
	s.settle(1, 2, 3, 4)
}

// reportEvenly reports requests for keys all over the key space for four seconds.
func reportEvenly(s *sim, perSecond int) {
	const reportsPerSecond, buckets = 5, 100
	for range 4 * reportsPerSecond {
		var loads []instance.KeyLoad
		for b := range buckets {
			loads = append(loads, instance.KeyLoad{
				Service: testService, Bucket: deployment.Key(b * numBuckets / buckets * deployment.KeysPerBucket),
				Count: uint32(perSecond / reportsPerSecond / buckets),
			})
		}
		for n := 1; n <= 4; n++ {
			s.heartbeat(n)
		}
		s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: "entry-1", Interval: time.Second / reportsPerSecond, Keys: loads}})
		s.answer(s.tick(time.Second / reportsPerSecond))
	}
}
