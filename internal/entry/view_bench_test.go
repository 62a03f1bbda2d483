package entry

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// BenchmarkViewHeap measures decoding and indexing a whole view, and the heap memory
// that an entry needs for it.
func BenchmarkViewHeap(b *testing.B) {
	const rangesPerTarget = 16
	for _, targets := range []int{64, 256, 1024, 2300} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			in := instance.View{Version: 1}
			ranges := keyspace.New(targets * rangesPerTarget).Ranges()
			for n := range targets {
				t := control.Target{Name: fmt.Sprintf("stock-%05d", n), Incarnation: "6b1f0b0e-8a51-4c6e-9d0a-0b6f6c3b7a11", Service: "stock", Address: "10.100.200.100:8080"}
				in.Targets = append(in.Targets, t)
				for i := range rangesPerTarget {
					ranges[n*rangesPerTarget+i].Owner = t.Owner()
				}
			}
			in.Tables = []control.ServiceTable{{Service: "stock", Whole: true, Ranges: ranges}}
			data := wire.Encode(in)
			before := heapBytes()
			view := decodeView(b, data)
			retained := float64(heapBytes() - before)
			for b.Loop() {
				view = decodeView(b, data)
			}
			runtime.KeepAlive(view)
			b.ReportMetric(retained, "heap_bytes")
		})
	}
}

func decodeView(b *testing.B, data []byte) *router.View {
	b.Helper()
	var in instance.View
	assert.NilError(b, wire.Decode(data, &in))
	view, err := nextView(&in, &router.View{})
	assert.NilError(b, err)
	return view
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
