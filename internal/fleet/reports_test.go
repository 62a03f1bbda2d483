package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func TestReportCollector(t *testing.T) {
	start := timer.Instant(time.Minute)
	report := func(entry string) instance.ReportRequest {
		return instance.ReportRequest{Instance: entry, Collect: true}
	}
	advice := &instance.ReportBatchResponse{Advice: instance.ReportResponse{Entries: 3}, Parts: map[string]map[string]float64{"a": {"shelf": 0.4}}}
	t.Run("takes reports before there is advice", func(t *testing.T) {
		var r reportCollector
		res, ok := r.add(report("a"), start)
		assert.Assert(t, ok && res.NoAdvice)
		assert.Equal(t, len(r.take()), 1)
		assert.Equal(t, len(r.take()), 0)
	})
	t.Run("passes on the advice for the entry", func(t *testing.T) {
		var r reportCollector
		r.setDelivered(nil, advice, start)
		res, ok := r.add(report("a"), start)
		assert.Assert(t, ok && res.Entries == 3 && res.Parts["shelf"] == 0.4)
		res, ok = r.add(report("b"), start)
		assert.Assert(t, ok && res.Entries == 3 && res.Parts == nil)
	})
	t.Run("takes no reports while they can't be delivered and the advice is old", func(t *testing.T) {
		var r reportCollector
		r.setDelivered(nil, advice, start)
		r.setFailed()
		_, ok := r.add(report("a"), start.Add(maxAdviceAge/2))
		assert.Assert(t, ok)
		r.take()
		_, ok = r.add(report("a"), start.Add(2*maxAdviceAge))
		assert.Assert(t, !ok)
		assert.Equal(t, len(r.take()), 0, "a rejected report is sent elsewhere and must not count twice")
		r.setDelivered(nil, advice, start.Add(2*maxAdviceAge))
		_, ok = r.add(report("a"), start.Add(2*maxAdviceAge))
		assert.Assert(t, ok)
	})
}

// TestCollectorKeepsDispatchers checks that a control instance passes the list of dispatchers
// on, which the leader sends only once.
func TestCollectorKeepsDispatchers(t *testing.T) {
	const version = 7
	var r reportCollector
	list := []instance.DispatcherZone{{Zone: "a", Addresses: [][]byte{{1}}}}
	report := func(known uint64) instance.ReportRequest {
		return instance.ReportRequest{Instance: "e", Collect: true, DispatchersVersion: known}
	}
	assert.Equal(t, r.knownDispatchers([]instance.ReportRequest{report(0)}), uint64(0), "no entry needs the list")
	assert.Equal(t, r.knownDispatchers([]instance.ReportRequest{report(version)}), uint64(instance.NoDispatchers))
	r.setDelivered(nil, &instance.ReportBatchResponse{Advice: instance.ReportResponse{DispatchersVersion: version, Dispatchers: list}}, 1)
	r.setDelivered(nil, &instance.ReportBatchResponse{Advice: instance.ReportResponse{DispatchersVersion: version}}, 2)
	assert.Equal(t, r.knownDispatchers([]instance.ReportRequest{report(version)}), uint64(version))
	for known, want := range map[uint64]int{0: 0, instance.NoDispatchers: 1, version - 1: 1, version: 0} {
		res, ok := r.add(report(known), 2)
		assert.Assert(t, ok)
		assert.Equal(t, len(res.Dispatchers), want, "version %d", known)
		assert.Equal(t, res.DispatchersVersion, uint64(version))
	}
	r.setDelivered(nil, &instance.ReportBatchResponse{Advice: instance.ReportResponse{DispatchersVersion: version + 1}}, 3)
	res, _ := r.add(report(version), 3)
	assert.Equal(t, len(res.Dispatchers), 0, "an older list under the new version")
}

// TestEntriesSpreadOverCollectors checks that many entries report to all control instances
// alike, and that one whose reports fail moves on.
func TestEntriesSpreadOverCollectors(t *testing.T) {
	const entries = 600
	control := []string{"a", "b", "c", "d", "e"}
	counts := make(map[string]int)
	for n := range entries {
		c := &collectors{}
		name := fmt.Sprintf("entry-%d", n)
		first := c.choose(name, control)
		assert.Equal(t, c.choose(name, control), first)
		c.failures.Add(1)
		assert.Assert(t, c.choose(name, control) != first)
		counts[first]++
	}
	for _, address := range control {
		assert.Assert(t, counts[address] > entries/len(control)/2, "%v", counts)
	}
}

// TestCollectorKeepsZoneShares guards against entries that get the shares of another zone, or
// old ones as if they were new.
func TestCollectorKeepsZoneShares(t *testing.T) {
	var r reportCollector
	deliver := func(at timer.Instant, known bool, zones ...string) {
		res := &instance.ReportBatchResponse{Advice: instance.ReportResponse{ZoneSharesKnown: known}}
		var reports []instance.ReportRequest
		for _, zone := range zones {
			reports = append(reports, instance.ReportRequest{Zone: zone})
		}
		if zones[0] == "a" {
			res.ZoneShares = map[string]instance.ZoneShares{"a": {"readings": {"b": 0.5}}}
		}
		r.setDelivered(reports, res, at)
	}
	want := func(at timer.Instant, zone string, known bool, shares int) {
		t.Helper()
		res, ok := r.add(instance.ReportRequest{Instance: zone, Zone: zone}, at)
		assert.Assert(t, ok && res.ZoneSharesKnown == known && len(res.ZoneShares) == shares, "%+v", res)
	}
	start := timer.Instant(time.Minute)
	later := start.Add(maxAdviceAge)
	deliver(start, true, "a", "b")
	want(start, "a", true, 1)
	want(start, "b", true, 0)
	want(start, "c", false, 0)
	deliver(later, true, "b")
	want(later, "a", true, 1)
	want(later+1, "a", false, 0)
	deliver(later, false, "b")
	want(later, "b", false, 0)
}
