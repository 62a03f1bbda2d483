package fleet

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// replace ends an instance for good. An empty one takes its place at another address after the
// pause.
func (g *testGroup) replace(i int, pause time.Duration) {
	g.t.Helper()
	gone := g.controls[i]
	g.stops[i]()
	time.Sleep(pause)
	l := g.listen()
	for n, seed := range g.seeds {
		if seed == gone.cfg.Address {
			g.seeds[n] = l.Addr().String()
		}
	}
	g.start(l, false, g.t.TempDir())
	last := len(g.controls) - 1
	g.controls[i] = g.controls[last]
	g.controls = g.controls[:last]
	g.stops[i] = g.stops[last]
	g.stops = g.stops[:last]
}

// awaitLeader returns the instance that leads.
func (g *testGroup) awaitLeader() int {
	g.t.Helper()
	leads := -1
	within(g.t, ackBound, func() error {
		if leads = slices.IndexFunc(g.controls, (*Control).isLeader); leads < 0 {
			return errors.New("no instance leads")
		}
		return nil
	})
	return leads
}

// Guards against a group that stays without a leader after its instances were replaced in turn: a
// lost voter that is still counted beside its successor makes the next loss one too many.
func TestChangesAreAcknowledgedAfterReplacementsInTurn(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 100 * time.Millisecond} {
		for _, leadersFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("successor after %v, leaders %v", pause, leadersFirst), func(t *testing.T) {
				t.Parallel()
				g := startTestGroup(t, 3)
				g.awaitVoters(3)
				g.changeAt(0)
				for range 3 {
					gone := g.awaitLeader()
					if !leadersFirst {
						gone = (gone + 1) % 3
					}
					g.replace(gone, pause)
					time.Sleep(catchUpBound)
				}
				for i := range g.controls {
					g.changeAt(i)
				}
				g.assertReadEverywhere()
			})
		}
	}
}
