package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// TestDispatcherList guards against a list that lacks live dispatchers or names dead ones.
func TestDispatcherList(t *testing.T) {
	s := newSim(t)
	report := func(entry int, address string) {
		s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: fmt.Sprintf("entry-%d", entry), Zone: fmt.Sprint("z", entry%2), DispatchAddress: address}})
	}
	address := func(entry int) string { return fmt.Sprintf("10.0.0.%d:7", entry) }
	advised := func() []string {
		s.answer(s.tick(s.model.timing.RebalanceInterval))
		var out []string
		for _, z := range s.advice.Dispatchers {
			for _, packed := range z.Addresses {
				a, ok := instance.UnpackAddress(packed)
				assert.Assert(t, ok)
				out = append(out, z.Zone+" "+a)
			}
		}
		return out
	}
	for i := range 3 {
		report(i, address(i))
	}
	all := []string{"z0 10.0.0.0:7", "z0 10.0.0.2:7", "z1 10.0.0.1:7"}
	t.Run("a new leader hands none out in its first second", func(t *testing.T) {
		for s.now.Sub(s.model.leadingSince) <= time.Second {
			assert.Equal(t, len(advised()), 0)
			assert.Equal(t, s.advice.DispatchersVersion, uint64(0))
		}
	})
	t.Run("all entries that report an address are listed, with the same version for the same list", func(t *testing.T) {
		s.answer(s.tick(time.Second))
		assert.DeepEqual(t, advised(), all)
		version := s.advice.DispatchersVersion
		assert.Assert(t, version > instance.NoDispatchers)
		report(2, address(2))
		report(1, address(1))
		report(0, address(0))
		assert.DeepEqual(t, advised(), all)
		assert.Equal(t, s.advice.DispatchersVersion, version)
	})
	t.Run("an entry that reports no address is left out at once", func(t *testing.T) {
		version := s.advice.DispatchersVersion
		report(1, "")
		assert.DeepEqual(t, advised(), all[:2])
		assert.Assert(t, s.advice.DispatchersVersion != version)
	})
	t.Run("an entry is left out after three seconds without a report", func(t *testing.T) {
		for passed := time.Duration(0); passed < 3500*time.Millisecond; passed += time.Second / 2 {
			report(0, address(0))
			s.answer(s.tick(time.Second / 2))
		}
		assert.DeepEqual(t, advised(), all[:1])
	})
	t.Run("an entry gets the list only if it needs it and has another version", func(t *testing.T) {
		r := instance.ReportResponse{DispatchersVersion: 7, Dispatchers: []instance.DispatcherZone{{Zone: "z"}}}
		for version, want := range map[uint64]int{0: 0, instance.NoDispatchers: 1, 6: 1, 7: 0} {
			assert.Equal(t, len(r.WithoutKnownDispatchers(version).Dispatchers), want, "version %d", version)
		}
	})
}
