package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// probeWait lets a crashed process end before its address is probed.
	probeWait    = 20 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// maxDeaths bounds what one report names.
	maxDeaths = 64
)

// deaths gathers the requests that were in flight at targets that died.
type deaths struct {
	mu      sync.Mutex
	blames  map[deployment.Life][]string
	cleared []string // suspected kinds of requests that were answered since
}

func newDeaths() *deaths { return &deaths{blames: make(map[deployment.Life][]string)} }

// fingerprint names the kind of a request: it comes again with the same method,
// path and body under another ID.
func fingerprint(r *request) string {
	h := xxhash.New()
	for _, part := range []string{r.method, r.host, r.uri} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// broke notes a request whose connection broke while its target ran it, if the
// target refuses connections now. A lost answer alone proves no death.
func (d *deaths) broke(ctx context.Context, t deployment.Target, kind string) {
	if !timer.Sleep(ctx, probeWait) {
		return
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err == nil {
		// The target lives; a failed close of the probe changes nothing.
		_ = c.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	life := deployment.Life{ID: t.ID, Born: t.Born}
	if len(d.blames[life]) < maxDeaths {
		d.blames[life] = append(d.blames[life], kind)
	}
}

// answered notes that a suspected kind of request was answered.
func (d *deaths) answered(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.cleared) < maxDeaths {
		d.cleared = append(d.cleared, kind)
	}
}

// take returns what was gathered since the last call. Cleared kinds go with the
// next death: without one there is nothing to clear.
func (d *deaths) take() []deployment.Blame {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []deployment.Blame
	for life, kinds := range d.blames {
		out = append(out, deployment.Blame{Life: life, Fingerprints: kinds, Cleared: d.cleared})
	}
	if len(out) > 0 {
		d.cleared = nil
	}
	clear(d.blames)
	return out
}
