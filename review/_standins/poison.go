package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	poisonPeriod = 2 * time.Second // between two of the caller's requests
	poisonTime   = 40 * time.Second
	workerDown   = 3 * time.Second
	// sentBeforeCrash is the part of a download that is sent before its worker crashes.
	sentBeforeCrash = 40_000
	// maxLateRetries is the number of retries that the rule allows.
	maxLateRetries = 3
	poisonWorkers  = 4
)

// crashingDownload sends a download that crashes each worker that runs it, again and again. The
// worker crashes after it has sent a part of the answer; with VARIANT=before it crashes before it
// sends any of it. Orders run at the same workers meanwhile.
func crashingDownload(d *deployment, trouble bool) (string, error) {
	if err := d.startControl(d.planControl(3)); err != nil {
		return "", err
	}
	if err := d.startEntries(2); err != nil {
		return "", err
	}
	after := sentBeforeCrash
	if os.Getenv("VARIANT") == "before" {
		after = 0
	}
	var workers []*crashingWorker
	for range poisonWorkers {
		w, err := d.newCrashingWorker("ledger", after, workerDown)
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	// A service that stays up: entries tell by it that they reach workers.
	if err := d.startWorkers("lookups", "lookups"); err != nil {
		return "", err
	}
	routes := map[string]route{
		"r-orders":  {host: shopHost, prefix: "/orders/", kind: "unsafe", service: "ledger", timeoutMillis: 1000, objectiveMillis: 250},
		"r-sheets":  {host: shopHost, prefix: "/sheets/", kind: "download", service: "ledger", timeoutMillis: 1000, objectiveMillis: 250},
		"r-lookups": {host: shopHost, prefix: "/lookups/", kind: "safe", service: "lookups", timeoutMillis: 1000, objectiveMillis: 250},
	}
	if _, err := d.configure(routes, []string{"ledger", "lookups"}, 15*time.Second); err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if a, err := d.request(d.entries[0], http.MethodGet, shopHost, "/sheets/download/1", time.Second); err != nil || a.status != http.StatusOK || len(a.body) != downloadBytes {
		return "", fmt.Errorf("%w: a download is not served: %d %w", errCannotRun, a.status, err)
	}
	path := "/sheets/download/crash/7"
	if !trouble {
		path = "/sheets/download/7"
	}
	served, lost := d.playPoison(path)
	return judgePoison(d, workers, path, served, lost, trouble)
}

// playPoison sends the download and orders for poisonTime. It returns the numbers of orders that
// were answered, and of those whose outcome their callers don't know.
func (d *deployment) playPoison(path string) (served, unknown int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range 2 {
		wg.Go(func() {
			for time.Since(begin) < poisonTime {
				a, err := d.request(d.entries[i], http.MethodPost, shopHost, "/orders/x", time.Second)
				mu.Lock()
				switch {
				case err == nil && a.status == http.StatusOK:
					served++
				case err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
					unknown++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for i := 0; time.Since(begin) < poisonTime; i++ {
		_, _ = d.request(d.entries[i%len(d.entries)], http.MethodGet, shopHost, path, time.Second)
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * poisonPeriod)))
	}
	wg.Wait()
	return served, unknown
}

// judgePoison counts the retries that reached a worker later than the stability window after the
// third crash.
func judgePoison(d *deployment, workers []*crashingWorker, path string, served, unknown int, trouble bool) (string, error) {
	var runs []time.Time
	cutOrders := 0
	for _, w := range workers {
		for _, x := range w.listRuns() {
			switch {
			case x.path == path:
				runs = append(runs, x.at)
			case strings.HasPrefix(x.path, "/orders/") && x.cut:
				cutOrders++
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	late := 0
	if trouble && len(runs) >= 3 {
		third := runs[2].Add(downloadWork + crashDelay)
		for _, at := range runs[3:] {
			if at.Sub(third) > stabilityWindow {
				late++
			}
		}
	}
	d.record.printf("the download reached workers %d times, %d of them later than %v after the third crash; %d orders were served, %d got no clear outcome, %d were cut off at a worker that crashed",
		len(runs), late, stabilityWindow, served, unknown, cutOrders)
	switch {
	case late > maxLateRetries:
		return fmt.Sprintf("BUDGET: the request reached workers %d times, %d of them later than %v after it had crashed the third one; %d orders that ran beside it were cut off",
			len(runs), late, stabilityWindow, cutOrders), nil
	case served == 0 || !trouble && len(runs) < 10:
		return "", fmt.Errorf("%w: %d orders and %d downloads were served", errCannotRun, served, len(runs))
	}
	return "", nil
}
