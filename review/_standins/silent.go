package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The connections that are open at a moment go silent, silences times in a row.
const (
	silences     = 2
	silencePause = 1500 * time.Millisecond
)

// silentConnections makes the open connections between entries and control instances go silent,
// and those by which the entries replace them. After the stability window the operator moves a
// route to another service, and a worker reports that it is draining.
func silentConnections(d *deployment, trouble bool) (string, error) {
	proxies, err := d.startControlBehindProxies(3)
	if err != nil {
		return "", err
	}
	if err := d.startWorkers("alpha", "alpha", "alpha", "beta", "beta", "beta", "gamma", "gamma", "gamma"); err != nil {
		return "", err
	}
	routes := map[string]route{
		"r-one": {host: shopHost, prefix: "/one/", kind: "safe", service: "alpha", timeoutMillis: 1000, objectiveMillis: 250},
		"r-two": {host: shopHost, prefix: "/two/", kind: "safe", service: "gamma", timeoutMillis: 1000, objectiveMillis: 250},
	}
	services := []string{"alpha", "beta", "gamma"}
	if _, err := d.configure(routes, services, 15*time.Second); err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	time.Sleep(3 * time.Second) // control instances have opened their connections to each other
	entriesFrom := time.Now()
	if err := d.startEntries(2); err != nil {
		return "", err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(1500 * time.Millisecond)
	for _, p := range d.entries {
		if a, err := d.request(p, http.MethodGet, shopHost, "/one/x", time.Second); err != nil || !strings.Contains(a.body, "alpha") {
			return "", fmt.Errorf("%w: the deployment does not serve: %v %w", errCannotRun, a, err)
		}
	}
	for i := range silences {
		if i > 0 {
			time.Sleep(silencePause)
		}
		if trouble {
			d.silence(proxies, entriesFrom)
		}
	}
	time.Sleep(stabilityWindow + 100*time.Millisecond)
	routes["r-one"] = route{host: shopHost, prefix: "/one/", kind: "safe", service: "beta", timeoutMillis: 1000, objectiveMillis: 250}
	changed, err := d.configure(routes, services, ackTime)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	leaving := d.workers[6]
	drained, err := leaving.drain(ackTime)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return d.checkStale(changed, leaving, drained)
}

// silence makes the connections silent that were opened after a moment.
func (d *deployment) silence(proxies []*proxy, after time.Time) {
	n := 0
	for _, x := range proxies {
		n += x.silence(after)
	}
	d.record.printf("%d open connections between entries and control instances go silent; new ones work", n)
}

// startControlBehindProxies starts control instances that are reached through proxies.
func (d *deployment) startControlBehindProxies(n int) ([]*proxy, error) {
	var out []*proxy
	for i, ip := range d.planControl(n) {
		behind := fmt.Sprintf("%s:%d", d.nextIP(), internalPort)
		p, err := d.start(fmt.Sprintf("core-%d", i+1), ip, "deploy/control.ini", map[string]string{"listen_address": behind})
		if err != nil {
			return nil, err
		}
		d.control = append(d.control, p)
		x, err := startProxy(fmt.Sprintf("%s:%d", ip, internalPort), behind)
		if err != nil {
			return nil, err
		}
		out = append(out, x)
	}
	return out, nil
}

// checkStale sends requests to all entries for 12 s. Those sent later than configApply after the
// change may not run at service alpha, and none may reach the draining worker later than
// targetDrain after its drain was acknowledged.
func (d *deployment) checkStale(changed time.Time, leaving *worker, drained time.Time) (string, error) {
	stale, total, late := 0, 0, 0
	var lastStale, lastLate time.Duration
	for begin := time.Now(); time.Since(begin) < 12*time.Second; time.Sleep(60 * time.Millisecond) {
		for _, p := range d.entries {
			sent := time.Now()
			a, err := d.request(p, http.MethodGet, shopHost, "/one/x", time.Second)
			if age := sent.Sub(changed); err == nil && a.status == http.StatusOK && age > configApply {
				total++
				if strings.Contains(a.body, "alpha") {
					stale, lastStale = stale+1, age
					d.record.printf("%s was sent %.3f s after the acknowledgement and ran at the old service", a.id, age.Seconds())
				}
			}
			_, _ = d.request(p, http.MethodGet, shopHost, "/two/x", time.Second)
		}
	}
	for _, x := range leaving.list(&leaving.runs) {
		if age := x.at.Sub(drained); age > targetDrain {
			late, lastLate = late+1, age
			d.record.printf("%s reached %s %.3f s after the acknowledgement of its drain", x.id, leaving.id, age.Seconds())
		}
	}
	d.record.printf("%d of %d requests ran at the old service, the last one sent %.3f s after the acknowledgement; %d reached the draining worker late, the last one after %.3f s",
		stale, total, lastStale.Seconds(), late, lastLate.Seconds())
	switch {
	case stale > 0:
		return fmt.Sprintf("CONFIG: %d of %d requests sent later than config_apply_ms after the acknowledgement ran at the old service, the last one sent %.1f s after it; DRAIN: %d reached the draining worker late",
			stale, total, lastStale.Seconds(), late), nil
	case late > 0:
		return fmt.Sprintf("DRAIN: %d requests reached the draining worker late, the last one %.1f s after the acknowledgement", late, lastLate.Seconds()), nil
	case total == 0:
		return "", fmt.Errorf("%w: no request was served", errCannotRun)
	}
	return "", nil
}
