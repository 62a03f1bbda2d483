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

// at runs an operator's command at one instance and returns its exit code.
func (s *system) at(instance int, args ...string) (string, int) {
	cmd := exec.Command(binary, append(args, "--operator", s.configs[instance].operator)...)
	out, _ := cmd.Output()
	return string(out), cmd.ProcessState.ExitCode()
}

// proposeAndVote sends a proposal and the vote again and again until both have
// a final answer, as an operator does whose answers are lost.
func (s *system) proposeAndVote(instance int, path, id string, base int) {
	for range 50 {
		_, proposed := s.at(instance, "config", "propose", "--file", path, "--base", fmt.Sprint(base), "--change-id", id)
		_, voted := s.at(instance, "config", "vote", "--change", id, "--member", "m", "--key", s.key)
		if final(proposed) && final(voted) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Errorf("change %s got no final answer", id)
}

// final reports whether an exit code says that the change was taken or lost.
func final(code int) bool { return code == 0 || code == 3 }

func (s *system) change(id string) control.Change {
	var c control.Change
	s.eventually("change "+id, func() error {
		out, err := s.command("config", "change", id, "--output", "json")
		if err != nil {
			return err
		}
		return json.Unmarshal([]byte(out), &c)
	})
	return c
}

// TestTexts lets operators race with equal numbers through different instances,
// while the control leader is killed.
func TestTexts(t *testing.T) {
	s := newSystem(t, 4)
	const racers = 4
	var wg sync.WaitGroup
	for n := range racers {
		path := filepath.Join(s.dir, fmt.Sprintf("race-%d.ini", n))
		text := strings.Replace(s.text, "prefix = /sheets/", fmt.Sprintf("prefix = /sheets-%d/", n), 1)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		// Every operator works at an instance that stays up.
		wg.Go(func() { s.proposeAndVote(3, path, fmt.Sprintf("race-%d", n), 1) })
	}
	leader := s.leader()
	s.instances[leader].kill()
	wg.Wait()
	winners := 0
	winner := ""
	for n := range racers {
		c := s.change(fmt.Sprintf("race-%d", n))
		if c.State == control.ChangeAccepted {
			winners++
			winner = c.ChangeID
			assert.Equal(t, c.Version, uint64(2))
		}
	}
	assert.Equal(t, winners, 1)
	for n := range racers {
		c := s.change(fmt.Sprintf("race-%d", n))
		if c.ChangeID != winner {
			assert.Equal(t, c.State, control.ChangeLost)
			assert.Equal(t, c.Winner, winner, "the loser must learn which change won")
		}
	}
}

// TestOldTextIsNotServed freezes an entry while a configuration is accepted that
// drops a service. When it resumes it must not serve that service any more.
func TestOldTextIsNotServed(t *testing.T) {
	s := newSystem(t, 5)
	s.startTargets(1, true)
	away := s.configs[4]
	assert.Equal(t, call("GET", "http://"+away.caller+"/sheets/a", "", "").outcome, "done")
	s.instances[away.name].freeze()
	s.accept(1, strings.Replace(s.text, "prefix = /sheets/", "prefix = /other/", 1))
	time.Sleep(2 * time.Second)
	replies := make(chan reply, 20)
	for range cap(replies) {
		go func() { replies <- call("GET", "http://"+away.caller+"/sheets/a", "", "") }()
	}
	time.Sleep(100 * time.Millisecond)
	s.instances[away.name].thaw()
	for range cap(replies) {
		r := <-replies
		assert.NilError(t, r.err)
		assert.Equal(t, r.outcome, "not_run", "%d %s", r.status, r.body)
	}
	s.eventually("the new text at the resumed entry", func() error {
		if r := call("GET", "http://"+away.caller+"/other/a", "", ""); r.outcome != "done" {
			return fmt.Errorf("%d %s", r.status, r.body)
		}
		return nil
	})
}
