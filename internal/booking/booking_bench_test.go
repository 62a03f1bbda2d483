package booking_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// answerBytes is the length of a stored answer's body.
const answerBytes = 256

// applyBooking applies the start and the finish of booking number n.
func applyBooking(s booking.State, n int) booking.State {
	key := fmt.Sprintf("orders/%032d", n)
	start := booking.Start{Key: key, Attempt: "6b1f0b0e-8a51-4c6e-9d0a-0b6f6c3b7a11", Fingerprint: "0123456789abcdef0123456789abcdef"}
	s, _ = s.Apply(0, wire.Encode(booking.Command{Start: &start}))
	finish := booking.Finish{Key: key, Attempt: start.Attempt, Phase: booking.Done}
	finish.Answer = booking.Answer{Status: 200, Body: make([]byte, answerBytes)}
	s, _ = s.Apply(0, wire.Encode(booking.Command{Finish: &finish}))
	return s
}

// BenchmarkBook applies the two commands of one booking to a state with many
// records, and reports the heap and snapshot bytes per record.
func BenchmarkBook(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			before := heapBytes()
			s := booking.New()
			for n := range records {
				s = applyBooking(s, n)
			}
			perRecord := float64(heapBytes()-before) / float64(records)
			n := records
			b.ResetTimer()
			for b.Loop() {
				n++
				applyBooking(s, n)
			}
			b.ReportMetric(perRecord, "heap_bytes/record")
			b.ReportMetric(float64(len(s.Encode()))/float64(records), "snapshot_bytes/record")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
