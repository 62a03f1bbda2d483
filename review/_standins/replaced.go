package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	catchUp      = 4 * time.Second // catch_up_s
	recoveryTime = 15 * time.Second
	// defaultMargin is the time beyond catchUp before the second loss.
	defaultMargin = 300 * time.Millisecond
)

// replacedInTurn loses two control instances for good, one after the other. Each is replaced
// by an empty one at another address a second later. The second is lost after the first one's
// successor has had its time to catch up, so that one machine is lost at a time.
func replacedInTurn(d *deployment, trouble bool) (string, error) {
	if err := d.startControl(d.planControl(3)); err != nil {
		return "", err
	}
	if err := d.startEntries(2); err != nil {
		return "", err
	}
	if err := d.startWorkers("lookups", "lookups", "lookups"); err != nil {
		return "", err
	}
	routes := map[string]route{"r-lookups": {host: shopHost, prefix: "/lookups/", kind: "safe", service: "lookups", timeoutMillis: 1000, objectiveMillis: 250}}
	services := []string{"lookups"}
	if _, err := d.configure(routes, services, 15*time.Second); err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		if err := d.replaceInTurn(d.control[:2]); err != nil {
			return "", err
		}
	}
	time.Sleep(recoveryTime)
	read, status := d.readBack(3, 30*time.Second)
	routes["r-more"] = route{host: shopHost, prefix: "/more/", kind: "safe", service: "lookups", timeoutMillis: 1000, objectiveMillis: 250}
	_, err := d.configure(routes, services, recoveryTime)
	switch {
	case read == 0:
		return fmt.Sprintf("CONFIG: the acknowledged configuration does not come any more (%s); a further change: %v", status, err), nil
	case err != nil:
		return fmt.Sprintf("Acks: %v", err), nil
	}
	return "", nil
}

// replaceInTurn kills control instances one after the other, each of which is replaced. The
// variable MARGIN changes the pause.
func (d *deployment) replaceInTurn(list []*process) error {
	margin := defaultMargin
	if text := os.Getenv("MARGIN"); text != "" {
		var err error
		if margin, err = time.ParseDuration(text); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	for _, gone := range list {
		d.record.printf("SIGKILL to %s, which is gone for good", gone.name)
		gone.signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		successor, err := d.replace(gone)
		if err != nil {
			return err
		}
		d.record.printf("empty control instance %s starts in its place", successor.name)
		time.Sleep(catchUp + margin)
	}
	return nil
}

// readBack reads the configuration at all control instances until it came n times, for at most
// the time given. It returns how often it came, and the first other response.
func (d *deployment) readBack(n int, limit time.Duration) (read int, status string) {
	for begin := time.Now(); time.Since(begin) < limit && read < n; time.Sleep(200 * time.Millisecond) {
		for _, address := range d.seedList() {
			code, body, err := call(http.MethodGet, "http://"+address+"/v1/config", nil)
			if err == nil && code == http.StatusOK {
				read++
				continue
			}
			if status == "" {
				status = fmt.Sprintf("%s answers %d %s %v", address, code, strings.TrimSpace(string(body)), err)
				d.record.printf("read of the configuration: %s", status)
			}
		}
	}
	d.record.printf("%d reads of the configuration answered with 200", read)
	return read, status
}
