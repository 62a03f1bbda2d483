package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines of a deployment; each machine has its own loopback address.
type ports struct{ internal0, internal1, front, ready, control, metrics int }

// cluster is a small deployment of the real program: one process for each machine.
type cluster struct {
	root   string // of the repository
	dir    string // temporary
	subnet string // such as "127.41.7"
	ports  ports
	fds    int // limit of descriptors for each process; 0 for the shell's own
	drain  int

	controls, fronts []*process
}

// process is one process of the deployment.
type process struct {
	c         *cluster
	name      string
	ip        string
	zone      string
	control   bool
	bootstrap bool
	seeds     []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

var zoneNames = []string{"north-woods", "bay-state", "south-coast"}

// newCluster prepares a deployment with the given numbers of processes. Nothing is started yet.
func newCluster(root, dir string, controls, fronts int) (*cluster, error) {
	c := &cluster{root: root, dir: dir}
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		c.ports = ports{base, base + 15, base + 20, base + 21, base + 22, base + 23}
		if c.portsFree() {
			break
		}
	}
	for i := range controls {
		c.controls = append(c.controls, &process{c: c, name: fmt.Sprintf("core-%d", i), ip: c.ip(1 + i), zone: zoneNames[i%3], control: true, bootstrap: true})
	}
	for i := range fronts {
		c.fronts = append(c.fronts, &process{c: c, name: fmt.Sprintf("front-%d", i), ip: c.ip(21 + i), zone: zoneNames[i%3], bootstrap: true})
	}
	var seeds []string
	for _, p := range c.controls[:min(3, len(c.controls))] {
		seeds = append(seeds, p.controlAddress())
	}
	for _, p := range append(append([]*process{}, c.controls...), c.fronts...) {
		p.seeds = seeds
		if err := os.MkdirAll(p.home(), 0o700); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

func (c *cluster) portsFree() bool {
	for _, port := range []int{c.ports.internal0, c.ports.internal1, c.ports.front, c.ports.ready, c.ports.control, c.ports.metrics} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(1), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (p *process) home() string           { return filepath.Join(p.c.dir, p.name) }
func (p *process) controlAddress() string { return fmt.Sprintf("%s:%d", p.ip, p.c.ports.control) }
func (p *process) frontAddress() string   { return fmt.Sprintf("%s:%d", p.ip, p.c.ports.front) }
func (p *process) readyAddress() string   { return fmt.Sprintf("%s:%d", p.ip, p.c.ports.ready) }
func (p *process) metricsAddress() string { return fmt.Sprintf("%s:%d", p.ip, p.c.ports.metrics) }

const boundsJSON = `{"seed_lag_s":3,"reuse_after_s":2,"stability_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"outer_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":58,"recovery_s":15,"hold_max_ms":10000,"thaw_ms":300}`

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9|]+)\}\}`)

// writeSettings fills in the template of the deploy file, as the platform does.
func (p *process) writeSettings() error {
	name := "entry.ini"
	if p.control {
		name = "control.ini"
	}
	text, err := os.ReadFile(filepath.Join(p.c.root, "deploy", name))
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": p.name, "zone": p.zone, "ip": p.ip, "seeds": strings.Join(p.seeds, ","),
		"internal_ports.0": fmt.Sprint(p.c.ports.internal0), "internal_ports.1": fmt.Sprint(p.c.ports.internal1),
		"listen.front": p.frontAddress(), "listen.ready": p.readyAddress(), "listen.control": p.controlAddress(),
		"data_dir": filepath.Join(p.home(), "data"), "limits.link_mbps": "750.0", "limits.memory_mb": "219",
		"bootstrap": fmt.Sprint(p.bootstrap), "bounds|json": boundsJSON, "grants": "invocation", "heartbeat_ms": "1500",
		"contracts": "base,drain,config,cost,retry,recover,own",
	}
	if p.control {
		values["limits.memory_mb"] = "280"
	}
	var missing []string
	out := placeholder.ReplaceAllStringFunc(string(text), func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			missing = append(missing, s)
		}
		return v
	})
	if len(missing) > 0 {
		return fmt.Errorf("template %s has unknown placeholders %v", name, missing)
	}
	// The template names a fixed port for the metrics, which may be in use here.
	out = strings.ReplaceAll(out, ":9464", fmt.Sprintf(":%d", p.c.ports.metrics))
	return os.WriteFile(p.settingsPath(), []byte(out), 0o600)
}

func (p *process) settingsPath() string { return filepath.Join(p.home(), "local.toml") }

// runWords returns the command of the role in the deploy file, with the settings file of this process.
func (p *process) runWords() ([]string, error) {
	text, err := os.ReadFile(filepath.Join(p.c.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	role := "[roles.entry]"
	if p.control {
		role = "[roles.control]"
	}
	_, after, ok := strings.Cut(string(text), role)
	_, after, ok2 := strings.Cut(after, `run = "`)
	line, _, ok3 := strings.Cut(after, `"`)
	if !ok || !ok2 || !ok3 {
		return nil, errors.New("deploy file has no command for " + role)
	}
	return strings.Fields(strings.ReplaceAll(line, "/etc/cranberrywind/local.toml", p.settingsPath())), nil
}

// start starts the process with the settings in effect now.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.writeSettings(); err != nil {
		return err
	}
	words, err := p.runWords()
	if err != nil {
		return err
	}
	if p.c.fds > 0 {
		words = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, p.c.fds), "sh"}, words...)
	}
	logFile, err := os.OpenFile(filepath.Join(p.home(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.c.root, logFile, logFile
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.home(), "LANG=C", "CRANBERRYWIND_SETTINGS=" + p.settingsPath()}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end sends the signal, and SIGKILL after the grace period, and waits for the end.
func (p *process) end(s syscall.Signal) {
	p.signal(s)
	if s == syscall.SIGKILL {
		p.signal(syscall.SIGCONT)
	}
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// restart ends the process and starts it again after a pause, no longer as a first start.
func (p *process) restart(s syscall.Signal, pause time.Duration) error {
	p.end(s)
	time.Sleep(pause)
	p.bootstrap = false
	return p.start()
}

// startAll starts all processes and returns a function that ends them.
func (c *cluster) startAll() (func(), error) {
	all := append(append([]*process{}, c.controls...), c.fronts...)
	stop := func() {
		for _, p := range all {
			if p.cmd != nil {
				p.signal(syscall.SIGKILL)
				p.signal(syscall.SIGCONT)
				<-p.exited
			}
		}
	}
	for _, p := range all {
		if err := p.start(); err != nil {
			return stop, err
		}
	}
	return stop, nil
}

// openFiles returns the number of descriptors of a process.
func (p *process) openFiles() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return -1
	}
	return len(names)
}

var httpClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}

// call makes one call of the operator or the platform and returns status and body.
func call(method, url, body string) (int, string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// order sends an operator's call to one control process after the other until one answers clearly.
func (c *cluster) order(method, body string, limit time.Duration) (int, string, error) {
	start, pause := time.Now(), 20*time.Millisecond
	var status int
	var text string
	err := errors.New("no control process was asked")
	for n := rand.IntN(len(c.controls)); time.Since(start) < limit; n++ {
		status, text, err = call(method, "http://"+c.controls[n%len(c.controls)].controlAddress()+"/v1/config", body)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, text, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return status, text, err
}

// ready reports whether the process answers the platform's readiness check with 200.
func (p *process) ready() bool {
	status, _, err := call(http.MethodGet, "http://"+p.readyAddress()+"/v1/ready", "")
	return err == nil && status == http.StatusOK
}

func (c *cluster) awaitReady(limit time.Duration) error {
	start := time.Now()
	for _, p := range c.fronts {
		for !p.ready() {
			if time.Since(start) > limit {
				return fmt.Errorf("%s is not ready after %v", p.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}
