package daemon

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Shutdown performs a graceful shutdown: it reports not ready to the balancer, waits for
// the configured Drain time so that the balancer stops sending requests, transfers
// leadership and lets requests in flight finish. It returns early if ctx ends.
func (d *Daemon) Shutdown(ctx context.Context) {
	d.log.Info("graceful shutdown started")
	d.check.Withdraw()
	if d.caller != nil {
		d.caller.Stop()
	}
	sleep(ctx, d.cfg.Drain)
	if d.control != nil {
		d.control.transferLeadership()
	}
	d.shutdownServers(ctx)
	d.log.Info("graceful shutdown finished")
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
