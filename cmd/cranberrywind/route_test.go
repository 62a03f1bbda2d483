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

// writeSeeds writes the settings of an entry with one seed.
func writeSeeds(t *testing.T, path, seed string) {
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

// assertSeed waits for settings with the seed.
func assertSeed(t *testing.T, reloaded <-chan settings.Routed, seed string) {
	t.Helper()
	select {
	case cfg := <-reloaded:
		assert.DeepEqual(t, cfg.Seeds, []string{seed})
	case <-time.After(20 * time.Second):
		t.Fatalf("settings with seed %s were not taken over", seed)
	}
}

func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	writeSeeds(t, path, "10.0.0.1:1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloaded := make(chan settings.Routed, 1)
	hangUp, stopSignals := reloadSignal()
	defer stopSignals()
	go watchSettings(ctx, hangUp, path, log.New(io.Discard), func(cfg settings.Routed) { reloaded <- cfg })
	time.Sleep(50 * time.Millisecond) // a change of the file needs another time
	writeSeeds(t, path, "10.0.0.2:1")
	assertSeed(t, reloaded, "10.0.0.2:1")

	// The old settings stay where new ones are wrong.
	assert.NilError(t, os.WriteFile(path, []byte("[instance]\nroles = unknown\n"), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(reloaded), 0)
	writeSeeds(t, path, "10.0.0.3:1")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assertSeed(t, reloaded, "10.0.0.3:1")
}

// TestHangUpDuringAPlannedStop sends the signal to this process, which ends the
// test where nobody catches it.
func TestHangUpDuringAPlannedStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	var free [3]string
	for i := range free {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		free[i] = l.Addr().String()
		assert.NilError(t, l.Close())
	}
	text := fmt.Sprintf("[instance]\nname = entry-1\navailability_zone = a\nroles = entry\naddress = %s\ncaller_address = %s\nbalancer_address = %s\ndrain = 400ms\n\n[control]\nseeds = 127.0.0.1:1\n",
		free[0], free[1], free[2])
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	cfg, err := platform.LoadSettings(path)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- route(ctx, cfg, path) }()
	time.Sleep(200 * time.Millisecond) // lets it start
	cancel()
	time.Sleep(100 * time.Millisecond) // lets the stop begin
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.NilError(t, <-ended)
}
