package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

func TestAdvisedPeers(t *testing.T) {
	s := newSim(t)
	report := func(entry int, address string) {
		s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: fmt.Sprintf("entry-%03d", entry), Zone: "a", RelayAddress: address}})
	}
	rounds := func(n int) map[string]int {
		advised := make(map[string]int)
		for range n {
			s.advice.Peers = nil
			s.answer(s.tick(s.model.timing.RebalanceInterval))
			assert.Assert(t, len(s.advice.Peers) <= maxAdvisedPeers)
			for _, p := range s.advice.Peers {
				advised[p.Address]++
			}
		}
		return advised
	}
	const entries = 20
	t.Run("all entries are advised in turn", func(t *testing.T) {
		for i := range entries {
			report(i, fmt.Sprintf("10.0.0.%d:1", i))
		}
		advised := rounds(entries / 4)
		assert.Equal(t, len(advised), entries)
		for address, n := range advised {
			assert.Equal(t, n, 2, address)
		}
	})
	t.Run("an entry that reaches no target is not advised", func(t *testing.T) {
		report(3, "")
		advised := rounds(entries / 4)
		assert.Equal(t, advised["10.0.0.3:1"], 0)
		assert.Equal(t, len(advised), entries-1)
	})
	t.Run("an entry without reports is not advised", func(t *testing.T) {
		s.answer(s.tick(entryExpiry + time.Second))
		report(5, "10.0.0.5:1")
		advised := rounds(1)
		assert.Equal(t, len(advised), 1)
		assert.Equal(t, advised["10.0.0.5:1"], 1)
	})
}
