package test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
)

// runOperatorAt runs an operator command against one instance and returns its output
// and exit code.
func (s *system) runOperatorAt(instance int, args ...string) (string, int) {
	cmd := exec.Command(binary, append(args, "--operator", s.configs[instance].operator)...)
	out, _ := cmd.Output()
	return string(out), cmd.ProcessState.ExitCode()
}

// proposeAndVote repeats a proposal and the vote for it until both have a final result,
// as an operator does when responses are lost.
func (s *system) proposeAndVote(instance int, path, id string, base int) {
	for range 50 {
		_, proposeCode := s.runOperatorAt(instance, "config", "propose", "--file", path, "--base", fmt.Sprint(base), "--change-id", id)
		_, voteCode := s.runOperatorAt(instance, "config", "vote", "--change", id, "--member", "m", "--key", s.keyFile)
		if isFinal(proposeCode) && isFinal(voteCode) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Errorf("change %s got no final result", id)
}

// isFinal reports whether an exit code is final: 0 is success, 3 means that the change
// lost or was rejected.
func isFinal(code int) bool { return code == 0 || code == 3 }

func (s *system) configChange(id string) control.ChangeRecord {
	var c control.ChangeRecord
	s.eventually("change "+id, func() error {
		out, err := s.runOperator("config", "change", id, "--output", "json")
		if err != nil {
			return err
		}
		return json.Unmarshal([]byte(out), &c)
	})
	return c
}

// TestConcurrentConfigChanges guards against two accepted changes of one base version.
// Four operators propose different configurations and repeat their commands while the
// control leader is killed. Exactly one change may be accepted, and the others must
// name it as the winner.
func TestConcurrentConfigChanges(t *testing.T) {
	s := newSystem(t, 4)
	const operators = 4
	var wg sync.WaitGroup
	for n := range operators {
		path := filepath.Join(s.dir, fmt.Sprintf("race-%d.ini", n))
		source := strings.Replace(s.configSource, "prefix = /sheets/", fmt.Sprintf("prefix = /sheets-%d/", n), 1)
		assert.NilError(t, os.WriteFile(path, []byte(source), 0o600))
		// Instance i4 has no control role, so it stays up when the leader is killed.
		wg.Go(func() { s.proposeAndVote(3, path, fmt.Sprintf("race-%d", n), 1) })
	}
	leader := s.leader()
	s.instances[leader].kill()
	wg.Wait()
	accepted := 0
	winner := ""
	for n := range operators {
		c := s.configChange(fmt.Sprintf("race-%d", n))
		if c.State == control.ChangeAccepted {
			accepted++
			winner = c.ChangeID
			assert.Equal(t, c.Version, uint64(2))
		}
	}
	assert.Equal(t, accepted, 1)
	for n := range operators {
		c := s.configChange(fmt.Sprintf("race-%d", n))
		if c.ChangeID != winner {
			assert.Equal(t, c.State, control.ChangeSuperseded)
			assert.Equal(t, c.Winner, winner, "a superseded change must name the winner")
		}
	}
}

// TestResumedEntryUsesNewConfig guards against an entry that serves requests by an
// outdated configuration. An entry is paused while a configuration is accepted that
// moves a service to another prefix, and it resumes with requests for the old prefix
// waiting. It must not run any of them.
func TestResumedEntryUsesNewConfig(t *testing.T) {
	s := newSystem(t, 5)
	s.startTargets(1, true)
	paused := s.configs[4]
	assert.Equal(t, call("GET", "http://"+paused.caller+"/sheets/a", "", "").outcome, "done")
	s.instances[paused.name].pause()
	s.acceptConfig(1, strings.Replace(s.configSource, "prefix = /sheets/", "prefix = /other/", 1))
	time.Sleep(2 * time.Second)
	responses := make(chan response, 20)
	for range cap(responses) {
		go func() { responses <- call("GET", "http://"+paused.caller+"/sheets/a", "", "") }()
	}
	time.Sleep(100 * time.Millisecond)
	s.instances[paused.name].resume()
	for range cap(responses) {
		r := <-responses
		assert.NilError(t, r.err)
		assert.Equal(t, r.outcome, "not_run", "%d %s", r.status, r.body)
	}
	s.eventually("new configuration at the resumed entry", func() error {
		if r := call("GET", "http://"+paused.caller+"/other/a", "", ""); r.outcome != "done" {
			return fmt.Errorf("%d %s", r.status, r.body)
		}
		return nil
	})
}
