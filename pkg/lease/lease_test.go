package lease_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func ExampleHeld() {
	clock := timer.NewManual()
	held := lease.Held{}.WithRenewal(clock.Now(), time.Second, 7)
	fmt.Println(held.Check(clock.Now()))
	clock.Advance(time.Second)
	fmt.Println(errors.Is(held.Check(clock.Now()), lease.ErrExpired))
	// Output:
	// <nil>
	// true
}

// TestHolderStopsFirst checks that the holder's lease is over whenever the
// granter's is, for any delay of the answer and clocks that differ by up to 4%.
func TestHolderStopsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "lease"))
		asked := rapid.Int64Range(0, int64(time.Hour)).Draw(t, "asked")
		delay := rapid.Int64Range(0, int64(time.Minute)).Draw(t, "delay")
		drift := rapid.Float64Range(0.96, 1.04).Draw(t, "drift")
		held := lease.Held{}.WithRenewal(timer.Instant(asked), d, 1)
		granted := lease.Granted{}.WithGrant(timer.Instant(asked+delay), d)
		later := rapid.Int64Range(0, 3*int64(time.Hour)).Draw(t, "later")
		if !granted.Over(timer.Instant(asked + delay + later)) {
			return
		}
		holderNow := timer.Instant(asked + int64(float64(delay+later)*drift))
		assert.Assert(t, errors.Is(held.Check(holderNow), lease.ErrExpired))
	})
}
