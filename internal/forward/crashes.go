package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// probeWait is the wait before a target's address is probed, so that a crashing
	// process has ended by then.
	probeWait    = 20 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// maxFingerprints bounds the fingerprints in one crash report.
	maxFingerprints = 64
)

// crashRecorder collects the fingerprints of requests that were in flight at
// targets when they crashed.
type crashRecorder struct {
	mu      sync.Mutex
	reports map[deployment.Incarnation][]string
	cleared []string // fingerprints of suspects of which a request was answered since
}

func newCrashRecorder() *crashRecorder {
	return &crashRecorder{reports: make(map[deployment.Incarnation][]string)}
}

// fingerprintOf returns a hash of the request's method, host, URI and body. The
// request ID is left out, since a caller may send the same request again under
// another ID.
func fingerprintOf(r *request) string {
	h := xxhash.New()
	for _, part := range []string{r.method, r.host, r.uri} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// recordIfCrashed records a request whose connection broke while the target ran
// it, if the target now refuses connections and others don't. A lost answer alone is no
// proof of a crash, and refused connections to all targets are this entry's own failure.
func (r *crashRecorder) recordIfCrashed(ctx context.Context, t deployment.Target, fingerprint string, reachesOthers func(id string) bool) {
	if !timer.Sleep(ctx, probeWait) {
		return
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err == nil {
		// The target is running. An error on closing the probe doesn't matter.
		_ = c.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || !reachesOthers(t.ID) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis}, fingerprint)
}

// add adds a fingerprint to the report of a crash. The caller holds the mutex.
func (r *crashRecorder) add(incarnation deployment.Incarnation, fingerprint string) {
	list := r.reports[incarnation]
	if len(list) < maxFingerprints && !slices.Contains(list, fingerprint) {
		r.reports[incarnation] = append(list, fingerprint)
	}
}

// giveBack adds the crashes of a report that was not delivered to the next one. A crash that is
// reported twice counts once.
func (r *crashRecorder) giveBack(reports []deployment.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		for _, f := range report.Fingerprints {
			r.add(report.Incarnation, f)
		}
	}
}

// recordAnswered records that a target answered a request of a suspected kind.
func (r *crashRecorder) recordAnswered(fingerprint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.cleared) < maxFingerprints {
		r.cleared = append(r.cleared, fingerprint)
	}
}

// take returns the crash reports since the last call. Cleared suspects are sent
// with the next crash report, and kept until there is one.
func (r *crashRecorder) take() []deployment.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []deployment.CrashReport
	for incarnation, fingerprints := range r.reports {
		out = append(out, deployment.CrashReport{Incarnation: incarnation, Fingerprints: fingerprints, Cleared: r.cleared})
	}
	if len(out) > 0 {
		r.cleared = nil
	}
	clear(r.reports)
	return out
}
