package main

import (
	"context"
	"fmt"
	"os"
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

// route runs an instance until ctx ends, then stops it as planned.
func route(ctx context.Context, cfg settings.Routed, path string) error {
	// A hang-up signal that is not caught ends the process, also in its stop.
	hangUp, stopSignals := reloadSignal()
	defer stopSignals()
	lines, closeLines := logwriter.New(os.Stdout)
	defer closeLines()
	logger := newLogger(lines.Important(), cfg.LogLevel)
	logs := fleet.Logs{Important: logger, Routine: newLogger(lines.Routine(), cfg.LogLevel), Dropped: lines.Dropped}
	adapter := platform.Adapter()
	f, stop, err := fleet.Start(context.WithoutCancel(ctx), cfg, adapter, logs)
	if err != nil {
		return err
	}
	defer stop()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go watchSettings(watching, hangUp, path, logger, f.Reload)
	select {
	case err := <-f.Failed():
		logger.Error("instance failed", "error", err)
		return fmt.Errorf("instance failed: %w", err)
	case <-ctx.Done():
	}
	f.Shutdown(context.WithoutCancel(ctx))
	return nil
}

// settingsPeriod is the time between two looks at the settings file, which may
// change without a signal.
const settingsPeriod = 2 * time.Second

// watchSettings reloads the settings at a hang-up signal and whenever the file
// has changed. Settings that can't be read are logged, and the old ones stay.
func watchSettings(ctx context.Context, hangUp <-chan os.Signal, path string, logger *log.Logger, reload func(settings.Routed)) {
	ticks := time.NewTicker(settingsPeriod)
	defer ticks.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
		case <-ticks.C:
			if now := modified(path); now.Equal(last) {
				continue
			}
		}
		last = modified(path)
		cfg, err := platform.LoadSettings(path)
		if err != nil {
			logger.Error("settings not reloaded; the old ones stay", "error", err)
			continue
		}
		reload(cfg)
	}
}

// modified returns when the file was last changed, or zero where it can't be
// looked at: the next look decides.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
