package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// formBound is the time within which a deployment with a seed missing at its first start has to
// acknowledge its first change.
const formBound = 10 * time.Second

// newTestGroup returns a group with three seeds, none of which runs, and the seeds' listeners.
func newTestGroup(t *testing.T) (*testGroup, []net.Listener) {
	g := &testGroup{t: t, handle: func(c *Control) instance.DeploymentHandler { return c }, compaction: group.Compaction{Entries: 100}}
	var listeners []net.Listener
	for range 3 {
		// No other process takes the port of an instance that is missing at such an address.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250)))
		assert.NilError(t, err)
		listeners = append(listeners, l)
		g.seeds = append(g.seeds, l.Addr().String())
	}
	return g, listeners
}

// Guards against a group that never forms because one of its seeds is missing at the first start.
func TestGroupFormsWithoutASeed(t *testing.T) {
	missing := map[string]func(net.Listener){
		"refuses connections": func(l net.Listener) { assert.NilError(t, l.Close()) },
		"does not answer":     func(net.Listener) {},
	}
	for name, lose := range missing {
		for lost := range 3 {
			t.Run(name+" "+[]string{"first", "second", "third"}[lost], func(t *testing.T) {
				t.Parallel()
				g, listeners := newTestGroup(t)
				for i, l := range listeners {
					if i == lost {
						lose(l)
						continue
					}
					g.start(l, true, t.TempDir())
				}
				g.awaitFirstChange()
				t.Run("which joins later", func(t *testing.T) {
					_ = listeners[lost].Close()
					l, err := net.Listen("tcp", g.seeds[lost])
					assert.NilError(t, err)
					g.start(l, true, t.TempDir())
					g.awaitVoters(3)
					g.changeAt(2)
					g.assertReadEverywhere()
				})
			})
		}
	}
	t.Run("a seed was started again", func(t *testing.T) {
		t.Parallel()
		g, listeners := newTestGroup(t)
		for i, l := range listeners {
			g.start(l, g.seeds[i] != min(g.seeds[0], g.seeds[1], g.seeds[2]), t.TempDir())
		}
		g.awaitFirstChange()
		g.awaitVoters(3)
	})
}

// awaitFirstChange waits until the first change is acknowledged.
func (g *testGroup) awaitFirstChange() {
	g.t.Helper()
	within(g.t, formBound, func() error {
		change := deployment.ConfigChange{Digest: "1", Version: 1, Whole: true}
		_, err := g.controls[0].SubmitChange(g.t.Context(), change)
		return err
	})
	g.version = 1
}

// Guards against a second group: one seed alone forms none.
func TestOneSeedFormsNoGroup(t *testing.T) {
	g, listeners := newTestGroup(t)
	g.start(listeners[0], true, t.TempDir())
	time.Sleep(formBound / 2)
	assert.Assert(t, !g.controls[0].lastReplica().group.Formed())
}
