package local_test

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/local"
)

func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	var done atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for !done.Load() {
				// It only has to start: the test binary ends at once without a matching test.
				_ = exec.Command(os.Args[0], "-test.run=^$").Run()
			}
		})
	}
	for range 2000 {
		address, err := local.FreeAddress()
		assert.Check(t, err)
		l, err := net.Listen("tcp", address)
		if assert.Check(t, err) {
			assert.Check(t, l.Close())
		}
	}
	done.Store(true)
	wg.Wait()
}
