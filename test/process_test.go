package test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is a child process. done is closed when it has ended.
type process struct {
	t    testing.TB
	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(t testing.TB, log string, args ...string) *process {
	t.Helper()
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(t, cmd.Start())
	_ = out.Close()
	p := &process{t: t, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// drain makes a stand-in target announce that it is draining.
func (p *process) drain() { p.signal(syscall.SIGUSR1) }

// shutDown requests a graceful shutdown and waits up to 30 s for it.
func (p *process) shutDown() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(30 * time.Second):
		p.t.Fatal("graceful shutdown took more than 30 s")
	}
}
