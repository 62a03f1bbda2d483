package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const shopHost = "jepu9.example"

// pipelinedShutdown stops an entry while clients have two requests each under way on one
// connection. The worker of the first request answers with its own error 500.
func pipelinedShutdown(d *deployment, trouble bool) (string, error) {
	const (
		clients        = 5
		deadline       = 5 * time.Second
		reportDeadline = 10 * time.Second
	)
	if err := d.startControl(d.planControl(3)); err != nil {
		return "", err
	}
	if err := d.startEntries(2); err != nil {
		return "", err
	}
	for _, service := range []string{"reports", "reports", "reports", "lookups", "lookups", "lookups"} {
		if _, err := d.startWorker(service); err != nil {
			return "", err
		}
	}
	routes := map[string]route{
		"r-reports": {host: shopHost, prefix: "/reports/", kind: "safe", service: "reports", timeoutMillis: 10_000, objectiveMillis: 3000},
		"r-lookups": {host: shopHost, prefix: "/lookups/", kind: "safe", service: "lookups", timeoutMillis: 5000, objectiveMillis: 500},
	}
	if _, err := d.configure(routes, []string{"reports", "lookups"}, 15*time.Second); err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	entry := d.entries[0]
	time.Sleep(3 * time.Second)
	// The usual load: the entry learns how long the requests of both services work.
	for range 6 {
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				path, limit := "/reports/w1500/x", reportDeadline
				if i%4 == 3 {
					path, limit = "/lookups/w400/x", deadline
				}
				_, _ = d.request(entry, http.MethodGet, shopHost, path, limit)
			})
		}
		wg.Wait()
	}
	var conns []*client
	for range clients {
		c, err := d.dial(entry)
		if err != nil {
			return "", fmt.Errorf("%w: %w", errCannotRun, err)
		}
		defer func() { _ = c.conn.Close() }()
		// The connection is a kept one.
		if _, err := c.send(http.MethodGet, shopHost, "/lookups/w20/x", deadline); err != nil {
			return "", fmt.Errorf("%w: %w", errCannotRun, err)
		}
		if _, err := c.read(deadline); err != nil {
			return "", fmt.Errorf("%w: %w", errCannotRun, err)
		}
		conns = append(conns, c)
	}
	stopped := time.Now()
	if trouble {
		d.record.printf("SIGTERM to %s", entry.name)
		entry.signal(syscall.SIGTERM)
	}
	time.Sleep(1900 * time.Millisecond)
	lost, answered := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, c := range conns {
		wg.Go(func() {
			sent := time.Now()
			first, err := c.send(http.MethodGet, shopHost, "/reports/w1500/e500/x", reportDeadline)
			if err != nil {
				return
			}
			second, err := c.send(http.MethodGet, shopHost, "/lookups/w2000/x", deadline)
			if err != nil {
				return
			}
			waiting := map[string]bool{first: true, second: true}
			for len(waiting) > 0 {
				a, err := c.read(reportDeadline + time.Second)
				if err != nil {
					break
				}
				delete(waiting, a.id)
			}
			mu.Lock()
			defer mu.Unlock()
			if !waiting[second] {
				answered++
				return
			}
			if d.ran(second) && time.Since(sent) < deadline && time.Since(stopped) < graceTime {
				lost++
				d.record.printf("request %s was passed on to a worker; its connection ended %.3f s after SIGTERM without an answer, %.3f s before its deadline",
					second, time.Since(stopped).Seconds(), (deadline - time.Since(sent)).Seconds())
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	d.record.printf("%d of %d second requests answered, %d lost", answered, clients, lost)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d requests that had been passed on to sound workers ended without an answer after SIGTERM", lost, clients), nil
	}
	if answered < clients {
		return "", fmt.Errorf("%w: %d of %d second requests answered", errCannotRun, answered, clients)
	}
	return "", nil
}
