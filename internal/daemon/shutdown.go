package daemon

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Shutdown ends an instance as planned: it fails the balancer's check, waits
// for the balancer to notice, hands leadership over, lets requests in flight
// end and refuses none. It returns early when ctx ends.
func (d *Daemon) Shutdown(ctx context.Context) {
	d.log.Info("instance stopping")
	d.check.Withdraw()
	if d.caller != nil {
		d.caller.Stop()
	}
	pause(ctx, d.cfg.Drain)
	if d.control != nil {
		d.control.handOver()
	}
	d.shutdownServers(ctx)
	d.log.Info("instance stopped")
}

func (d *Daemon) shutdownServers(ctx context.Context) {
	d.mu.Lock()
	servers := slices.Clone(d.servers)
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { shutdownServer(ctx, s) })
	}
	wg.Wait()
}

func shutdownServer(ctx context.Context, s *http.Server) { _ = s.Shutdown(ctx) }

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
