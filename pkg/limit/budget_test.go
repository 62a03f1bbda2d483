package limit_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

func ExampleBudget() {
	b := limit.NewBudget(0.5, 1)
	b, first := b.WithRetry()
	b, second := b.WithRetry()
	b = b.WithRequest().WithRequest()
	_, third := b.WithRetry()
	fmt.Println(first, second, third)
	// Output: true false true
}

// TestBudgetBoundsRetries checks that retries never exceed the burst plus the ratio
// of the requests.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := limit.NewBudget(ratio, burst)
		requests, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			if rapid.Bool().Draw(t, "retry") {
				var ok bool
				if b, ok = b.WithRetry(); ok {
					retries++
				}
				continue
			}
			b = b.WithRequest()
			requests++
		}
		assert.Assert(t, float64(retries) <= burst+ratio*float64(requests)+1e-6)
	})
}
