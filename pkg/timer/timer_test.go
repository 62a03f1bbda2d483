package timer_test

import (
	"context"
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

func ExampleEvery() {
	clock := timer.NewManual()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		timer.Every(ctx, clock, 10*time.Millisecond, cancel)
	}()
	for ctx.Err() == nil {
		clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	<-ended
	fmt.Println("called")
	// Output: called
}
