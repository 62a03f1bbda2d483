package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/fleet"
	"github.com/cranberrywind/cranberrywind/internal/logwriter"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/platform"
)

func newRoute() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "route --settings FILE",
		Short: "Run one instance of a routed deployment on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := platform.LoadSettings(path)
			if err != nil {
				return withCode(exitInvalid, err)
			}
			return route(cmd.Context(), cfg, path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "INI file with the instance's settings")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// route runs an instance until ctx ends or the instance fails. When ctx ends it
// performs a graceful shutdown.
func route(ctx context.Context, cfg settings.Routed, path string) error {
	// SIGHUP is caught until the graceful shutdown has finished: its default action
	// would end the process.
	sighup, stopSignals := reloadSignal()
	defer stopSignals()
	limitHeap(cfg.MemoryMB)
	logWriter, closeLogWriter := logwriter.New(os.Stdout)
	defer closeLogWriter()
	logger := newLogger(logWriter.Important(), cfg.LogLevel)
	logs := fleet.Logs{Important: logger, Routine: newLogger(logWriter.Routine(), cfg.LogLevel), Dropped: logWriter.Dropped}
	adapter := platform.Adapter()
	f, stop, err := fleet.Start(context.WithoutCancel(ctx), cfg, adapter, logs)
	if err != nil {
		return err
	}
	defer stop()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go watchSettings(watchCtx, sighup, path, logger, f.Reload)
	select {
	case err := <-f.Failed():
		logger.Error("instance failed", "error", err)
		return fmt.Errorf("instance failed: %w", err)
	case <-ctx.Done():
	}
	f.Shutdown(context.WithoutCancel(ctx))
	return nil
}

// heapShare is the part of an instance's memory up to which the garbage collector lets the heap
// grow at its usual pace.
const heapShare = 0.7

// limitHeap makes the garbage collector keep the process within its memory, if that is known.
func limitHeap(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * memoryMB * (1 << 20)))
	}
}

// settingsPollInterval is how often the settings file is checked for a modification,
// since it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings at each signal and whenever the file was
// modified, until ctx ends. If the settings can't be read, it logs the error and keeps
// the old ones.
func watchSettings(ctx context.Context, sighup <-chan os.Signal, path string, logger *log.Logger, reload func(settings.Routed)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if now := modTime(path); now.Equal(last) {
				continue
			}
		}
		last = modTime(path)
		cfg, err := platform.LoadSettings(path)
		if err != nil {
			logger.Error("settings not reloaded; keeping the old ones", "error", err)
			continue
		}
		reload(cfg)
	}
}

// modTime returns the modification time of the file, or the zero time if it can't be
// read; the file is checked again after the next interval.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
