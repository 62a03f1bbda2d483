// Package test holds the system tests. They run the program as separate processes
// and inject failures of processes and connections.
package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/local"
	"github.com/cranberrywind/cranberrywind/internal/operator"
	"github.com/cranberrywind/cranberrywind/internal/standin"
)

// binary is the path of the program under test. TestMain builds it once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cranberrywind-test-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cranberrywind")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/cranberrywind").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// instanceConfig holds the name, addresses and roles of one instance.
type instanceConfig struct {
	name, address, listen, caller, target, operator string
	control                                         bool
}

// system is a deployment of instances and targets that run as processes.
type system struct {
	t            testing.TB
	dir          string
	configs      []instanceConfig
	instances    map[string]*process
	targets      map[string]*process
	configSource string
	takeover     string   // unfenced_takeover of the keyed services
	services     string   // configuration of bookings and services
	keyFile      string   // file of the member's private key
	lostReplicas []string // replica IDs whose disks were lost
}

// testServices is the configuration of bookings and services. Its argument is the
// value of unfenced_takeover.
const testServices = `
[bookings]
groups = 1
retention = 1h

[service stock]
kind = lookup
prefix = /stock/
key = path:1
deadline = 3s
ranges = 12
retry_budget = 1
unfenced_takeover = %[1]s

[service orders]
kind = booking
prefix = /orders/
key = path:1
deadline = 3s
ranges = 12
retry_budget = 1
unfenced_takeover = %[1]s

[service sheets]
kind = download
prefix = /sheets/
deadline = 10s
retry_budget = 1
`

// newSystem starts instances, gives the first three the control role, and gets a
// configuration accepted. The options change the system before it starts.
func newSystem(t testing.TB, instances int, opts ...func(*system)) *system {
	t.Helper()
	s := &system{
		t: t, dir: t.TempDir(), takeover: "wait", services: testServices,
		instances: make(map[string]*process), targets: make(map[string]*process),
	}
	for i := range instances {
		s.configs = append(s.configs, s.newInstanceConfig(fmt.Sprintf("i%d", i+1), i < 3))
	}
	for _, opt := range opts {
		opt(s)
	}
	t.Cleanup(s.logTails)
	for _, c := range s.configs {
		s.startInstance(c.name)
	}
	s.configSource = s.initialConfig()
	s.acceptConfig(0, s.configSource)
	return s
}

// logTails prints the end of each instance's log if the test failed.
func (s *system) logTails() {
	if !s.t.Failed() {
		return
	}
	const lines = 12
	for _, c := range s.configs {
		data, _ := os.ReadFile(filepath.Join(s.dir, c.name+".log"))
		all := strings.Split(string(data), "\n")
		s.t.Logf("log of %s:\n%s", c.name, strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}

func (s *system) newInstanceConfig(name string, control bool) instanceConfig {
	c := instanceConfig{name: name, control: control}
	for _, a := range []*string{&c.address, &c.caller, &c.target, &c.operator} {
		freeAddress, err := local.FreeAddress()
		assert.NilError(s.t, err)
		*a = freeAddress
	}
	c.listen = c.address
	return c
}

func (s *system) findConfig(name string) *instanceConfig {
	for i := range s.configs {
		if s.configs[i].name == name {
			return &s.configs[i]
		}
	}
	s.t.Fatalf("no instance %q", name)
	return nil
}

func (s *system) dataDir(name string) string { return filepath.Join(s.dir, "data", name) }

func (s *system) startInstance(name string) {
	s.t.Helper()
	c := s.findConfig(name)
	roles, data := "entry", ""
	if c.control {
		roles, data = "entry, control", "data = "+s.dataDir(name)
	}
	var bootstrap []string
	for _, peer := range s.configs[:3] {
		bootstrap = append(bootstrap, peer.name+"@"+peer.address)
	}
	settings := fmt.Sprintf(`[instance]
name = %s
availability_zone = zone-a
roles = %s
address = %s
listen_address = %s
caller_address = %s
target_address = %s
operator_address = %s
%s
drain = 500ms

[control]
bootstrap = %s
`, c.name, roles, c.address, c.listen, c.caller, c.target, c.operator, data, strings.Join(bootstrap, ", "))
	path := filepath.Join(s.dir, name+".ini")
	assert.NilError(s.t, os.WriteFile(path, []byte(settings), 0o600))
	s.instances[name] = startProcess(s.t, filepath.Join(s.dir, name+".log"), "serve", "--settings", path)
}

// initialConfig creates the member's key if needed and returns the configuration of
// all instances.
func (s *system) initialConfig() string {
	s.t.Helper()
	if s.keyFile == "" {
		s.keyFile = filepath.Join(s.dir, "member.key")
		assert.NilError(s.t, exec.Command(binary, "config", "keygen", "--file", s.keyFile).Run())
	}
	return s.renderConfig(s.configs)
}

func (s *system) renderConfig(configs []instanceConfig) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[deployment]\nname = test\n\n[member m]\npublic_key = %s\n", publicKey(s.t, s.keyFile))
	for _, c := range configs {
		roles := "entry"
		if c.control {
			roles = "entry, control"
		}
		fmt.Fprintf(&b, "\n[instance %s]\naddress = %s\navailability_zone = zone-a\nroles = %s\n", c.name, c.address, roles)
	}
	fmt.Fprintf(&b, s.services, s.takeover)
	return b.String()
}

// acceptConfig proposes a configuration that replaces version base, and votes for it.
func (s *system) acceptConfig(base int, source string) {
	s.t.Helper()
	path := filepath.Join(s.dir, fmt.Sprintf("text-%d.ini", base+1))
	assert.NilError(s.t, os.WriteFile(path, []byte(source), 0o600))
	id := fmt.Sprintf("change-%d", base+1)
	s.eventually("propose", func() error {
		_, err := s.runOperator("config", "propose", "--file", path, "--base", fmt.Sprint(base), "--change-id", id)
		return err
	})
	s.eventually("vote", func() error {
		_, err := s.runOperator("config", "vote", "--change", id, "--member", "m", "--key", s.keyFile)
		return err
	})
}

// runOperator runs an operator command against the first running instance.
func (s *system) runOperator(args ...string) (string, error) {
	for _, c := range s.configs {
		if p := s.instances[c.name]; p == nil || !isRunning(p) {
			continue
		}
		out, err := exec.Command(binary, append(args, "--operator", c.operator)...).CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("%v: %w: %s", args, err, out)
		}
		return string(out), nil
	}
	return "", fmt.Errorf("no instance is running")
}

func isRunning(p *process) bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (s *system) eventually(what string, check func() error) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (s *system) recordPath(name string) string { return filepath.Join(s.dir, name+".records") }

func (s *system) startTarget(name, service, kind string, checksFence bool) {
	s.t.Helper()
	var announce []string
	for _, c := range s.configs {
		announce = append(announce, c.target)
	}
	s.targets[name] = startProcess(s.t, filepath.Join(s.dir, name+".log"), "standin",
		"--name", name, "--service", service, "--kind", kind, "--record", s.recordPath(name), "--slots", "8",
		"--work", "2ms", fmt.Sprintf("--checks-fence=%t", checksFence), "--announce", strings.Join(announce, ","))
}

// startTargets starts n targets of each service and waits until the instances serve
// lookups.
func (s *system) startTargets(n int, checksFence bool) {
	s.t.Helper()
	for i := range n {
		s.startTarget(fmt.Sprintf("stock-%d", i+1), "stock", "lookup", checksFence)
		s.startTarget(fmt.Sprintf("orders-%d", i+1), "orders", "booking", checksFence)
		s.startTarget(fmt.Sprintf("sheets-%d", i+1), "sheets", "download", checksFence)
	}
	s.waitUntilServing()
}

// waitUntilServing waits until every running instance serves lookups of 20 keys.
func (s *system) waitUntilServing() {
	s.t.Helper()
	for _, c := range s.configs {
		if !isRunning(s.instances[c.name]) {
			continue
		}
		for i := range 20 {
			s.eventually("lookup at "+c.name, func() error {
				r := lookup(c.caller, fmt.Sprintf("warm-%d", i))
				if r.outcome != "done" {
					return fmt.Errorf("outcome %q, status %d, %v", r.outcome, r.status, r.err)
				}
				return nil
			})
		}
	}
}

// status returns the status of the deployment as the operator command reports it.
func (s *system) status() (operator.StatusResponse, error) {
	var out operator.StatusResponse
	output, err := s.runOperator("config", "status", "--output", "json")
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal([]byte(output), &out)
}

// leader returns the name of the instance that leads the control group.
func (s *system) leader() string {
	s.t.Helper()
	name := ""
	s.eventually("find the leader", func() error {
		output, err := s.runOperator("config", "status", "--output", "json")
		if err != nil {
			return err
		}
		var out struct {
			Groups map[string]struct {
				Leader string `json:"leader"`
			} `json:"groups"`
		}
		if err := json.Unmarshal([]byte(output), &out); err != nil {
			return err
		}
		name, _, _ = strings.Cut(out.Groups["control"].Leader, "#")
		if name == "" {
			return fmt.Errorf("control group reports no leader")
		}
		return nil
	})
	return name
}

// owner returns the name of the target that owns a key.
func (s *system) owner(service, key string) string {
	s.t.Helper()
	var out operator.KeyResponse
	s.eventually("find the owner", func() error {
		output, err := s.runOperator("keys", "owner", service, key, "--output", "json")
		if err != nil {
			return err
		}
		return json.Unmarshal([]byte(output), &out)
	})
	return out.Owner.Target
}

// records returns the records of all requests that the targets accepted.
func (s *system) records() []standin.Record {
	s.t.Helper()
	var out []standin.Record
	paths, err := filepath.Glob(filepath.Join(s.dir, "*.records"))
	assert.NilError(s.t, err)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(s.t, err)
		for line := range bytes.Lines(data) {
			var r standin.Record
			if json.Unmarshal(line, &r) == nil {
				out = append(out, r)
			}
		}
	}
	return out
}

func publicKey(t testing.TB, path string) string {
	t.Helper()
	public, err := derivePublicKey(path)
	assert.NilError(t, err)
	return public
}
