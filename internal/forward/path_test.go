package forward

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// fakeNetwork connects to some addresses and counts the attempts.
type fakeNetwork struct {
	mu        sync.Mutex
	reachable map[string]bool
	err       error // of connections to other addresses; by default they are refused
	dials     int
}

func (n *fakeNetwork) dial(_ context.Context, address string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	if !n.reachable[address] {
		return cmp.Or(n.err, error(syscall.ECONNREFUSED))
	}
	return nil
}

func (n *fakeNetwork) set(reachable bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.reachable[a] = reachable
	}
}

func (n *fakeNetwork) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// testTargets returns n live targets and their addresses.
func testTargets(n int) (targets []deployment.Target, addresses []string) {
	for i := range n {
		id := fmt.Sprintf("t%d", i)
		targets = append(targets, deployment.Target{ID: id, Address: id, Status: deployment.Live})
		addresses = append(addresses, id)
	}
	return targets, addresses
}

// startPathMonitor starts a monitor of n targets that can be reached, and a failure at two
// of them is recorded by fail.
func startPathMonitor(t *testing.T, n int) (p *pathMonitor, network *fakeNetwork, fail func()) {
	targets, addresses := testTargets(n)
	network = &fakeNetwork{reachable: make(map[string]bool)}
	network.set(true, addresses...)
	p = newPathMonitor(t.Context(), timer.NewSystem(t.Context()), log.New(io.Discard), func() []deployment.Target { return targets }, func() {})
	p.dial = network.dial
	return p, network, func() {
		p.RecordFailure("t0")
		p.RecordFailure("t1")
	}
}

func awaitLost(t *testing.T, p *pathMonitor, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Lost() == want {
			return poll.Success()
		}
		return poll.Continue("lost is %v", !want)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

func TestPathToTargets(t *testing.T) {
	t.Run("is lost while no target can be reached", func(t *testing.T) {
		p, network, fail := startPathMonitor(t, 20)
		_, addresses := testTargets(20)
		network.set(false, addresses...)
		fail()
		awaitLost(t, p, true)
		network.set(true, addresses...)
		awaitLost(t, p, false)
		assert.Equal(t, p.Losses(), uint64(1))
	})
	t.Run("is not lost while the entry's own link is full", func(t *testing.T) {
		p, network, fail := startPathMonitor(t, 20)
		_, addresses := testTargets(20)
		network.set(false, addresses...)
		network.err = context.DeadlineExceeded
		p.RecordAnswer()
		assert.Assert(t, !p.check())
		time.Sleep(answerWindow) // without an answer
		fail()
		awaitLost(t, p, true)
	})
	t.Run("is lost when connections are refused, though targets answer on others", func(t *testing.T) {
		p, network, _ := startPathMonitor(t, 20)
		_, addresses := testTargets(20)
		network.set(false, addresses...)
		p.RecordAnswer()
		assert.Assert(t, p.check())
	})
	t.Run("is not lost when some targets fail", func(t *testing.T) {
		p, network, _ := startPathMonitor(t, 20)
		network.set(false, "t0", "t1")
		for range 20 {
			assert.Assert(t, !p.check())
		}
	})
	t.Run("is checked at most once in each interval", func(t *testing.T) {
		_, network, fail := startPathMonitor(t, 20)
		for range 100 {
			fail()
		}
		time.Sleep(minCheckInterval / 4) // for checks that should not run
		assert.Equal(t, network.dialCount(), checkedTargets)
	})
	t.Run("is lost with the only target", func(t *testing.T) {
		p, network, _ := startPathMonitor(t, 1)
		network.set(false, "t0")
		p.RecordFailure("t0")
		awaitLost(t, p, true)
	})
	t.Run("is not lost without targets", func(t *testing.T) {
		p, _, _ := startPathMonitor(t, 0)
		assert.Assert(t, !p.check())
	})
}
