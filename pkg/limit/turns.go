package limit

import (
	"context"
	"time"
)

// Turns lets a few large transfers at a time use a narrow link, in order of
// their arrival, so that small ones find a short queue there. A transfer that
// has waited too long goes ahead without a turn: a peer that stalls holds
// nobody up for good. The nil value never makes anybody wait.
type Turns struct {
	free    chan struct{}
	longest time.Duration
}

// NewTurns returns n turns. Nobody waits longer than the given time.
func NewTurns(n int, longest time.Duration) *Turns {
	t := &Turns{free: make(chan struct{}, n), longest: longest}
	for range n {
		t.free <- struct{}{}
	}
	return t
}

// Take waits for a turn and returns the function that gives it back.
func (t *Turns) Take(ctx context.Context) func() {
	if t == nil {
		return func() {}
	}
	wait := time.NewTimer(t.longest)
	defer wait.Stop()
	select {
	case <-t.free:
		return func() { t.free <- struct{}{} }
	case <-ctx.Done():
	case <-wait.C:
	}
	return func() {}
}
