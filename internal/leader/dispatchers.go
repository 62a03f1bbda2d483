package leader

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// dispatcherListDelay is the time after which a new leader has heard from all entries, and
// hands out the list of dispatchers. An entry reports at least each second, and a report that
// was on its way to the earlier leader takes up to another second to fail.
const dispatcherListDelay = 2 * time.Second

// dispatchers holds the entries that dispatch, by their names.
type dispatchers map[string]dispatcher

type dispatcher struct {
	zone   string
	packed []byte // its address, as in instance.DispatcherZone
}

// record takes over the dispatch address of a report. An entry that reports none does not
// dispatch any more.
func (d dispatchers) record(r instance.ReportRequest) {
	packed, ok := instance.PackAddress(r.DispatchAddress)
	if !ok {
		delete(d, r.Instance)
		return
	}
	d[r.Instance] = dispatcher{zone: r.Zone, packed: packed}
}

// list returns the list of dispatchers for entries and its version, which is 0 if there are
// none.
func (d dispatchers) list() ([]instance.DispatcherZone, uint64) {
	if len(d) == 0 {
		return nil, 0
	}
	byZone := make(map[string][][]byte)
	for _, e := range d {
		byZone[e.zone] = append(byZone[e.zone], e.packed)
	}
	var out []instance.DispatcherZone
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		addresses := byZone[zone]
		slices.SortFunc(addresses, bytes.Compare)
		out = append(out, instance.DispatcherZone{Zone: zone, Addresses: slices.CompactFunc(addresses, bytes.Equal)})
	}
	return out, instance.DispatchersVersion(out)
}
