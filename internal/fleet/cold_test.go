package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// TestChangesCold guards against a target that turns cold without a committed record, which
// entries would send the usual load, and against commits for heartbeats that change nothing.
func TestChangesCold(t *testing.T) {
	record := func(sequence uint64, left time.Duration) deployment.Target {
		return deployment.Target{ID: "t", StartMillis: 1, Status: deployment.Live, Sequence: sequence, WarmUpMillis: left.Milliseconds()}
	}
	tests := map[string]struct {
		old, heartbeat deployment.Target
		want           bool
	}{
		"turned cold":                 {record(1, 0), record(2, 6*time.Second), true},
		"turned warm":                 {record(1, 6*time.Second), record(8, 0), true},
		"still cold":                  {record(1, 6*time.Second), record(4, 3300*time.Millisecond), false},
		"still warm":                  {record(1, 0), record(4, 0), false},
		"turned cold again":           {record(1, 6*time.Second), record(6, 6*time.Second), true},
		"cold past the record's time": {record(1, 2*time.Second), record(9, 4*time.Second), true},
		"an old heartbeat":            {record(5, 0), record(4, 6*time.Second), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, changesCold(tt.heartbeat, tt.old, 870*time.Millisecond), tt.want)
		})
	}
}
