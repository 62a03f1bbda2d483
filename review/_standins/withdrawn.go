package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// withdrawAfter is the time from a worker's start to its withdrawal, within its first
	// heartbeat period.
	withdrawAfter = 400 * time.Millisecond
	// workerLingers is for how long a worker that has withdrawn still serves.
	workerLingers = 7 * time.Second
	workerRestart = 3 * time.Second
	lateBeat      = 2500 * time.Millisecond
	orderClients  = 12
)

// withdrawnEarly lets a worker end without notice, start again under its ID, and withdraw before its
// first heartbeat. With VARIANT=late a new worker withdraws whose first heartbeat arrives late. The
// withdrawal is acknowledged, and the worker serves on for a while, as the pages say.
func withdrawnEarly(d *deployment, trouble bool) (string, error) {
	if err := d.startControl(d.planControl(3)); err != nil {
		return "", err
	}
	if err := d.startEntries(2); err != nil {
		return "", err
	}
	var workers []*crashingWorker
	for range 2 {
		w, err := d.newCrashingWorker("ledger", 0, 0)
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	routes := map[string]route{"r-orders": {host: shopHost, prefix: "/orders/", kind: "unsafe", service: "ledger", timeoutMillis: 1000, objectiveMillis: 250}}
	if _, err := d.configure(routes, []string{"ledger"}, 15*time.Second); err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	stop := d.sendOrders()
	time.Sleep(2 * time.Second)
	leaving, gone, err := d.leaveEarly(workers[0], trouble)
	if err == nil {
		time.Sleep(workerLingers)
		leaving.end()
		d.record.printf("worker %s exits", leaving.id)
		time.Sleep(time.Second)
	}
	stop()
	if err != nil {
		return "", err
	}
	late, cut, before, last := 0, 0, 0, time.Duration(0)
	for _, x := range leaving.listRuns() {
		switch age := x.at.Sub(gone); {
		case age <= 0:
			before++
		case age > targetDrain:
			late++
			last = max(last, age)
			if x.cut {
				cut++
			}
		}
	}
	d.record.printf("worker %s ran %d requests before its withdrawal was acknowledged, and %d later than %v after that, the last one after %.3f s; %d of these were cut off by its exit",
		leaving.id, before, late, targetDrain, last.Seconds(), cut)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached the worker later than %v after its withdrawal was acknowledged, the last one after %.1f s; %d of them were cut off by its exit",
			late, targetDrain, last.Seconds(), cut), nil
	}
	return "", nil
}

// leaveEarly makes a worker leave and returns it with the time at which that was acknowledged.
// Without trouble the worker has sent heartbeats before.
func (d *deployment) leaveEarly(w *crashingWorker, trouble bool) (*crashingWorker, time.Time, error) {
	if os.Getenv("VARIANT") == "late" {
		return d.leaveBeforeLateBeat(trouble)
	}
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	d.record.printf("worker %s ends without notice", w.id)
	w.end()
	time.Sleep(workerRestart)
	w.restart()
	if !trouble {
		if !w.say(http.MethodPut, d.seed(1), "ready") {
			return nil, time.Time{}, fmt.Errorf("%w: a heartbeat was not acknowledged", errCannotRun)
		}
		d.record.printf("the first heartbeat of worker %s is acknowledged", w.id)
	}
	time.Sleep(withdrawAfter)
	return d.withdraw(w)
}

// leaveBeforeLateBeat starts a worker whose first heartbeat arrives late, and makes it leave.
func (d *deployment) leaveBeforeLateBeat(trouble bool) (*crashingWorker, time.Time, error) {
	w, err := d.startCrashingWorker("ledger", 0, 0, true)
	if err != nil {
		return nil, time.Time{}, err
	}
	beat := func() {
		acknowledged := w.say(http.MethodPut, d.seed(1), "ready")
		d.record.printf("the first heartbeat of worker %s arrives; acknowledged: %t", w.id, acknowledged)
	}
	if trouble {
		time.AfterFunc(lateBeat, beat)
	} else {
		beat()
	}
	time.Sleep(withdrawAfter)
	return d.withdraw(w)
}

// withdraw withdraws the worker and returns when that was acknowledged.
func (d *deployment) withdraw(w *crashingWorker) (*crashingWorker, time.Time, error) {
	for i := range 5 {
		address := d.seed(i)
		if w.say(http.MethodDelete, address, "") {
			d.record.printf("control %s acknowledged the withdrawal of worker %s", address, w.id)
			return w, time.Now(), nil
		}
	}
	return nil, time.Time{}, fmt.Errorf("%w: the withdrawal was not acknowledged", errCannotRun)
}
