package dispatch

import (
	"math"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// returnFrame is the span over which places for returns are counted.
	returnFrame = 2 * time.Second
	// returnFrames bounds how far ahead a caller is told to return, at 256 s.
	returnFrames = 128
	// returnSwing is how far ahead the demand of this moment says what more urgent requests
	// will take: it swings within 13 s.
	returnSwing = 6 * time.Second
	// returnShare is the share of the room that is given to returning callers.
	returnShare = 0.9
	// minReturnShare is the least share of the room that a kind of requests gets for its
	// returns, however much more urgent ones take.
	minReturnShare = 0.05
	// goldenRatio spreads the places of a frame evenly, however many are taken.
	goldenRatio = math.Phi
	// minRetryAfter is the shortest time after which a caller may return.
	minRetryAfter = 50 * time.Millisecond
)

// returns hands out places in the queue of returns: in each frame, no more callers are
// told to return than can be served in it. It answers callers that would all repeat at
// once after a shortage.
type returns struct {
	first  int64 // index of the frame at counts[first%returnFrames]
	counts [returnFrames]int
}

// place returns when the next caller may return, at least wait from now, if room requests
// a second can be served, and left of them besides more urgent ones as of now.
func (r *returns) place(now timer.Instant, wait time.Duration, room, left float64) time.Duration {
	current := int64(now) / int64(returnFrame)
	for r.first = max(r.first, current-returnFrames); r.first < current; r.first++ {
		r.counts[r.first%returnFrames] = 0
	}
	earliest, places := now.Add(max(wait, minRetryAfter)), framePlaces(left)
	for f := int64(earliest) / int64(returnFrame); f < current+returnFrames; f++ {
		start := timer.Instant(f * int64(returnFrame))
		if start.Sub(now) > returnSwing {
			places = framePlaces(room)
		}
		count := &r.counts[f%returnFrames]
		for *count < places {
			_, part := math.Modf(float64(*count) * goldenRatio)
			*count++
			if at := start.Add(time.Duration(part * float64(returnFrame))); at >= earliest {
				return at.Sub(now)
			}
		}
	}
	return returnFrame * returnFrames
}

// framePlaces returns the number of places in a frame, at least one.
func framePlaces(perSecond float64) int {
	return max(1, int(returnShare*perSecond*returnFrame.Seconds()))
}
