package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	shopHost = "jepu9.example"

	pipeliningClients = 5
	lookupDeadline    = 5 * time.Second
	reportDeadline    = 10 * time.Second
)

// pipelinedShutdown stops an entry while clients have two requests each under way on one
// connection. The worker of the first request answers with its own error 500.
func pipelinedShutdown(d *deployment, trouble bool) (string, error) {
	entry, err := d.startReports()
	if err != nil {
		return "", err
	}
	conns, err := d.keptConnections(entry, pipeliningClients)
	if err != nil {
		return "", err
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
			second, ok := c.sendTwo()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case ok:
				answered++
			case d.ran(second) && time.Since(sent) < lookupDeadline && time.Since(stopped) < graceTime:
				lost++
				d.record.printf("request %s was passed on to a worker; its connection ended %.3f s after SIGTERM without an answer, %.3f s before its deadline",
					second, time.Since(stopped).Seconds(), (lookupDeadline - time.Since(sent)).Seconds())
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	d.record.printf("%d of %d second requests answered, %d lost", answered, len(conns), lost)
	switch {
	case lost > 0:
		return fmt.Sprintf("LOST: %d of %d requests that had been passed on to sound workers ended without an answer after SIGTERM", lost, len(conns)), nil
	case answered < len(conns):
		return "", fmt.Errorf("%w: %d of %d second requests answered", errCannotRun, answered, len(conns))
	}
	return "", nil
}

// startReports starts a deployment with two services, and plays the usual load until an entry has
// learned how long the requests of both work. It returns the entry.
func (d *deployment) startReports() (*process, error) {
	if err := d.startControl(d.planControl(3)); err != nil {
		return nil, err
	}
	if err := d.startEntries(2); err != nil {
		return nil, err
	}
	if err := d.startWorkers("reports", "reports", "reports", "lookups", "lookups", "lookups"); err != nil {
		return nil, err
	}
	routes := map[string]route{
		"r-reports": {host: shopHost, prefix: "/reports/", kind: "safe", service: "reports", timeoutMillis: 10_000, objectiveMillis: 3000},
		"r-lookups": {host: shopHost, prefix: "/lookups/", kind: "safe", service: "lookups", timeoutMillis: 5000, objectiveMillis: 500},
	}
	if _, err := d.configure(routes, []string{"reports", "lookups"}, 15*time.Second); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for range 6 {
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				path, limit := "/reports/w1500/x", reportDeadline
				if i%4 == 3 {
					path, limit = "/lookups/w400/x", lookupDeadline
				}
				_, _ = d.request(d.entries[0], http.MethodGet, shopHost, path, limit)
			})
		}
		wg.Wait()
	}
	return d.entries[0], nil
}

// keptConnections opens connections that each have served a request.
func (d *deployment) keptConnections(entry *process, n int) ([]*client, error) {
	var out []*client
	for range n {
		c, err := d.dial(entry)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		if _, err := c.send(http.MethodGet, shopHost, "/lookups/w20/x", lookupDeadline); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		if _, err := c.read(lookupDeadline); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		out = append(out, c)
	}
	return out, nil
}

// sendTwo sends two requests one behind the other and reads their answers. It returns the ID of
// the second one and whether it was answered.
func (c *client) sendTwo() (second string, answered bool) {
	defer func() { _ = c.conn.Close() }()
	if _, err := c.send(http.MethodGet, shopHost, "/reports/w1500/e500/x", reportDeadline); err != nil {
		return "", false
	}
	second, err := c.send(http.MethodGet, shopHost, "/lookups/w2000/x", lookupDeadline)
	if err != nil {
		return second, false
	}
	for {
		a, err := c.read(reportDeadline + time.Second)
		if err != nil {
			return second, false
		}
		if a.id == second {
			return second, true
		}
	}
}
