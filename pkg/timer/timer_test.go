package timer_test

import (
	"fmt"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func ExampleManual() {
	clock := timer.NewManual()
	ticks, stop := clock.Subscribe(10 * time.Millisecond)
	defer stop()
	clock.Advance(25 * time.Millisecond)
	fmt.Println(time.Duration(<-ticks))
	// Output: 25ms
}
