package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// TestRejectOverload guards against requests for keys of an overloaded owner that pass
// unlimited, and against limits for keys of other targets or of a later incarnation.
func TestRejectOverload(t *testing.T) {
	const requests = 2000
	owner, other := testTarget(1, "a"), testTarget(2, "a")
	later := owner
	later.StartMillis++
	s := &Server{}
	s.advice.Store(&instance.ReportResponse{
		Entries:          maxEntriesWithinQueue + 1,
		Overloads:        []instance.Overload{{Service: "catalog", From: 7, To: 7, Share: 0.5}},
		OverloadedOwners: []instance.OverloadedOwner{{Target: owner.ID, StartMillis: owner.StartMillis, Share: 0.25}},
	})
	rejectedShare := func(key deployment.Key, target deployment.Target) float64 {
		count := 0
		for range requests {
			if s.rejectOverload("catalog", key, target) {
				count++
			}
		}
		return float64(count) / requests
	}
	cases := []struct {
		name     string
		key      deployment.Key
		target   deployment.Target
		from, to float64
	}{
		{"key of the overloaded owner", 3, owner, 0.7, 0.8},
		{"limited key of another target", 7, other, 0.45, 0.55},
		{"key of another target", 3, other, 0, 0},
		{"key of a later incarnation", 3, later, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			share := rejectedShare(c.key, c.target)
			assert.Assert(t, share >= c.from && share <= c.to, "rejected %.2f", share)
		})
	}
}
