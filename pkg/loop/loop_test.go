package loop_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/loop"
)

// total is a model that adds up its events.
type total int

func (t total) Update(n int) (total, []string) {
	t += total(n)
	return t, []string{fmt.Sprint("total ", int(t))}
}

func Example() {
	done := make(chan struct{})
	run := func(_ context.Context, effects []string) error {
		for _, e := range effects {
			fmt.Println(e)
			if e == "total 5" {
				close(done)
			}
		}
		return nil
	}
	l, stop := loop.New(context.Background(), total(0), run)
	defer stop()
	_ = l.Send(2)
	_ = l.Send(3)
	<-done
	// Output:
	// total 2
	// total 5
}

func TestRunnerErrorEndsLoop(t *testing.T) {
	errRun := errors.New("runner failed")
	l, stop := loop.New(context.Background(), total(0), func(context.Context, []string) error { return errRun })
	defer stop()
	assert.NilError(t, l.Send(1))
	<-l.Done()
	assert.Assert(t, errors.Is(l.Err(), errRun))
	for range 2000 {
		if err := l.Send(1); err != nil {
			assert.Assert(t, errors.Is(err, loop.ErrStopped))
			return
		}
	}
	t.Fatal("stopped loop accepted all events")
}
