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

// TestHolderExpiresFirst checks that a lease that has expired at the granter has also
// expired at the holder, for any delay of the answer and for clocks that differ in
// speed by up to 4%.
func TestHolderExpiresFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "lease"))
		sentAt := rapid.Int64Range(0, int64(time.Hour)).Draw(t, "asked")
		delay := rapid.Int64Range(0, int64(time.Minute)).Draw(t, "delay")
		drift := rapid.Float64Range(0.96, 1.04).Draw(t, "drift")
		held := lease.Held{}.WithRenewal(timer.Instant(sentAt), d, 1)
		granted := lease.Granted{}.WithGrant(timer.Instant(sentAt+delay), d)
		later := rapid.Int64Range(0, 3*int64(time.Hour)).Draw(t, "later")
		if !granted.Expired(timer.Instant(sentAt + delay + later)) {
			return
		}
		holderNow := timer.Instant(sentAt + int64(float64(delay+later)*drift))
		assert.Assert(t, errors.Is(held.Check(holderNow), lease.ErrExpired))
	})
}
