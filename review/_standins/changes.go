package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit of a control instance.
	memoryMB = 280

	watchPeriod  = 50 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// maxEnds is the number of ends of one machine that are a fault.
	maxEnds = 3
)

// watched is a process whose memory the platform limits.
type watched struct {
	p        *process
	ends     []time.Time
	peak     int // MB
	peakDisk int // MB
}

// platform kills a process that uses more memory than its machine has, and starts it again.
type platform struct {
	d    *deployment
	mu   sync.Mutex
	list []*watched
	stop chan struct{}
	done sync.WaitGroup
}

func (d *deployment) watchMemory(list []*process) *platform {
	x := &platform{d: d, stop: make(chan struct{})}
	for _, p := range list {
		w := &watched{p: p}
		x.list = append(x.list, w)
		x.done.Go(func() { x.watch(w) })
	}
	return x
}

func (x *platform) watch(w *watched) {
	for n := 0; ; n++ {
		select {
		case <-x.stop:
			return
		case <-time.After(watchPeriod):
		}
		used := anonymousMB(w.p.cmd.Process.Pid)
		disk := 0
		if n%10 == 0 {
			disk = folderMB(filepath.Join(x.d.dir, w.p.name))
		}
		x.mu.Lock()
		w.peak, w.peakDisk = max(w.peak, used), max(w.peakDisk, disk)
		x.mu.Unlock()
		if used <= memoryMB {
			continue
		}
		x.d.record.printf("%s uses %d MB of memory, over its limit of %d MB: it is killed", w.p.name, used, memoryMB)
		w.p.signal(syscall.SIGKILL)
		<-w.p.exited
		x.mu.Lock()
		w.ends = append(w.ends, time.Now())
		x.mu.Unlock()
		time.Sleep(restartDelay)
		if err := x.d.startAgain(w.p); err != nil {
			x.d.record.printf("%s does not start again: %v", w.p.name, err)
			return
		}
		x.d.record.printf("%s starts again", w.p.name)
	}
}

// startAgain starts a process that has ended, not for the first time.
func (d *deployment) startAgain(p *process) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	text := strings.ReplaceAll(string(data), "bootstrap = true", "bootstrap = false")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return d.run(p)
}

func (x *platform) end() {
	close(x.stop)
	x.done.Wait()
}

// anonymousMB returns the anonymous memory of a process that is resident; 0 if it has ended.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

func folderMB(dir string) int {
	total := int64(0)
	_ = filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return nil
		}
		if info, err := e.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return int(total / (1 << 20))
}

func envInt(name string, n int) int {
	if text := os.Getenv(name); text != "" {
		if v, err := strconv.Atoi(text); err == nil {
			return v
		}
	}
	return n
}

const (
	// manyRoutes is what four entries of big_config with 467 routes each add.
	manyRoutes    = 4 * 467
	changePeriod  = 330 * time.Millisecond
	changes       = 280
	changesTime   = 75 * time.Second
	recoveryPause = 5 * time.Second
)

// manyChanges lets the operator send hundreds of changes as whole configurations with many routes.
// Without trouble the configurations have one route.
func manyChanges(d *deployment, trouble bool) (string, error) {
	if err := d.startControl(d.planControl(3)); err != nil {
		return "", err
	}
	if err := d.startEntries(2); err != nil {
		return "", err
	}
	if err := d.startWorkers("lookups", "lookups"); err != nil {
		return "", err
	}
	routes := map[string]route{"r-lookups": {host: shopHost, prefix: "/lookups/", kind: "safe", service: "lookups", timeoutMillis: 1000, objectiveMillis: 250}}
	if trouble {
		for i := range envInt("ROUTES", manyRoutes) {
			routes[fmt.Sprintf("r-%07x", 0x1a00000+i*7919)] = route{host: shopHost, prefix: fmt.Sprintf("/more%d/%x/", i, i*7919), kind: "safe", service: "lookups", timeoutMillis: 1000, objectiveMillis: 250}
		}
	}
	services := []string{"lookups"}
	if _, err := d.configure(routes, services, 15*time.Second); err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	x := d.watchMemory(d.control)
	acknowledged := 1
	begin := time.Now()
	for i := range changes {
		r := routes["r-lookups"]
		r.timeoutMillis = 1000 + i%50
		routes["r-lookups"] = r
		if _, err := d.configure(routes, services, ackTime); err == nil {
			acknowledged++
		} else {
			d.version -= 2
		}
		if time.Since(begin) > changesTime {
			break
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * changePeriod)))
	}
	d.record.printf("the operator sends no further changes; %d were acknowledged", acknowledged)
	time.Sleep(recoveryPause)
	read, status := d.readBack(3, 8*time.Second)
	x.end()
	machines := 0
	for _, w := range x.list {
		d.record.printf("%s used up to %d MB of memory and %d MB of disk; it ended %d times", w.p.name, w.peak, w.peakDisk, len(w.ends))
		if len(w.ends) >= maxEnds {
			machines++
		}
	}
	if 2*machines >= len(x.list) {
		return fmt.Sprintf("Fault: after %d acknowledged changes %d of 3 control instances ended three times or more by their use of memory, with no disruption; the configuration was read back %d times (%s)",
			acknowledged, machines, read, status), nil
	}
	if read == 0 {
		return "", fmt.Errorf("%w: the configuration does not come: %s", errCannotRun, status)
	}
	return "", nil
}
