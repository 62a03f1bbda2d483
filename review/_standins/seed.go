package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// seedLost starts a deployment for the first time and loses one of its three control instances
// for good at its start. With VARIANT=restart the process of the first one is killed instead, and
// started again half a second later; the whole system has been started then, so that the settings
// no longer say that it starts for the first time.
func seedLost(d *deployment, trouble bool) (string, error) {
	const limit = 60 * time.Second
	if err := d.startControl(d.planControl(3)); err != nil {
		return "", err
	}
	time.Sleep(50 * time.Millisecond)
	switch {
	case trouble && os.Getenv("VARIANT") == "restart":
		if err := d.restart(d.control[0], 500*time.Millisecond); err != nil {
			return "", err
		}
	case trouble:
		d.record.printf("SIGKILL to %s, which does not come back", d.control[2].name)
		d.control[2].signal(syscall.SIGKILL)
	}
	if err := d.startEntries(2); err != nil {
		return "", err
	}
	if err := d.startWorkers("lookups", "lookups", "lookups"); err != nil {
		return "", err
	}
	routes := map[string]route{"r-lookups": {host: shopHost, prefix: "/lookups/", kind: "safe", service: "lookups", timeoutMillis: 1000, objectiveMillis: 250}}
	began := time.Now()
	_, err := d.configure(routes, []string{"lookups"}, limit)
	served := 0
	for range 20 {
		for _, p := range d.entries {
			if a, err := d.request(p, http.MethodGet, shopHost, "/lookups/x", time.Second); err == nil && a.status == http.StatusOK {
				served++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.record.printf("%d of 40 requests served", served)
	if err != nil {
		return fmt.Sprintf("Fault and Acks: the first configuration was not acknowledged within %.0f s, and %d of 40 requests were served", time.Since(began).Seconds(), served), nil
	}
	if served == 0 {
		return "Fault: no request was served", nil
	}
	return "", nil
}

// restart kills a process and starts it again after a pause, not for the first time.
func (d *deployment) restart(p *process, pause time.Duration) error {
	d.record.printf("SIGKILL to %s", p.name)
	p.signal(syscall.SIGKILL)
	time.Sleep(pause)
	d.record.printf("%s starts again", p.name)
	return d.startAgain(p)
}
