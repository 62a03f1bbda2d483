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
	// maxFingerprints bounds what one report names.
	maxFingerprints = 64
)

// crashes gathers the requests that were in flight at targets that crashed.
type crashes struct {
	mu      sync.Mutex
	reports map[deployment.Incarnation][]string
	cleared []string // suspected kinds of requests that were answered since
}

func newCrashes() *crashes { return &crashes{reports: make(map[deployment.Incarnation][]string)} }

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
// target refuses connections now. A lost answer alone proves no crash.
func (d *crashes) broke(ctx context.Context, t deployment.Target, kind string) {
	if !timer.Sleep(ctx, probeWait) {
		return
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err == nil {
		// The target runs; a failed close of the probe changes nothing.
		_ = c.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnation := deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis}
	if len(d.reports[incarnation]) < maxFingerprints {
		d.reports[incarnation] = append(d.reports[incarnation], kind)
	}
}

// answered notes that a suspected kind of request was answered.
func (d *crashes) answered(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.cleared) < maxFingerprints {
		d.cleared = append(d.cleared, kind)
	}
}

// take returns what was gathered since the last call. Cleared kinds go with the
// next crash: without one there is nothing to clear.
func (d *crashes) take() []deployment.CrashReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []deployment.CrashReport
	for incarnation, kinds := range d.reports {
		out = append(out, deployment.CrashReport{Incarnation: incarnation, Fingerprints: kinds, Cleared: d.cleared})
	}
	if len(out) > 0 {
		d.cleared = nil
	}
	clear(d.reports)
	return out
}
