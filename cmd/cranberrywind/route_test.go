package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/platform"
)

// writeSettings writes the settings of an entry with one seed.
func writeSettings(t *testing.T, path, seed string) {
	t.Helper()
	text := fmt.Sprintf(`[instance]
name = entry-1
availability_zone = a
roles = entry
address = 127.0.0.1:7000
caller_address = 127.0.0.1:8000
balancer_address = 127.0.0.1:8001

[control]
seeds = %s
`, seed)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

// waitForSeed waits for the reloaded settings and checks their seed.
func waitForSeed(t *testing.T, reloaded <-chan settings.Routed, seed string) {
	t.Helper()
	select {
	case cfg := <-reloaded:
		assert.DeepEqual(t, cfg.Seeds, []string{seed})
	case <-time.After(20 * time.Second):
		t.Fatalf("settings with seed %s were not reloaded", seed)
	}
}

func TestSettingsReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	writeSettings(t, path, "10.0.0.1:1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloaded := make(chan settings.Routed, 1)
	sighup, stopSignals := reloadSignal()
	defer stopSignals()
	go watchSettings(ctx, sighup, path, log.New(io.Discard), func(cfg settings.Routed) { reloaded <- cfg })
	time.Sleep(50 * time.Millisecond) // so that the modification time changes
	writeSettings(t, path, "10.0.0.2:1")
	waitForSeed(t, reloaded, "10.0.0.2:1")

	// Invalid settings are not applied.
	assert.NilError(t, os.WriteFile(path, []byte("[instance]\nroles = unknown\n"), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(reloaded), 0)
	writeSettings(t, path, "10.0.0.3:1")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	waitForSeed(t, reloaded, "10.0.0.3:1")
}

// TestSIGHUPDuringGracefulShutdown sends SIGHUP to the test process during a
// graceful shutdown. The signal would end the process if it were not caught.
func TestSIGHUPDuringGracefulShutdown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	var addrs [3]string
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs[i] = l.Addr().String()
		assert.NilError(t, l.Close())
	}
	text := fmt.Sprintf("[instance]\nname = entry-1\navailability_zone = a\nroles = entry\naddress = %s\ncaller_address = %s\nbalancer_address = %s\ndrain = 400ms\n\n[control]\nseeds = 127.0.0.1:1\n",
		addrs[0], addrs[1], addrs[2])
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	cfg, err := platform.LoadSettings(path)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- route(ctx, cfg, path) }()
	time.Sleep(200 * time.Millisecond) // so that the instance has started
	cancel()
	time.Sleep(100 * time.Millisecond) // so that the graceful shutdown has started
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.NilError(t, <-done)
}
