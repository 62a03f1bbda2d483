package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/daemon"
	"github.com/cranberrywind/cranberrywind/internal/settings"
)

// shutdownTimeout limits the duration of a graceful shutdown.
const shutdownTimeout = 60 * time.Second

// newLogger returns a logger that writes JSON lines. An unknown level means info.
func newLogger(w io.Writer, level string) *log.Logger {
	lvl, err := log.ParseLevel(level)
	if err != nil {
		lvl = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.JSONFormatter,
		Level:           lvl,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := settings.Load(path)
			if err != nil {
				return withCode(exitInvalid, err)
			}
			return serve(cmd.Context(), cfg)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "INI file with the instance's settings")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs an instance until ctx ends or the instance fails. When ctx ends it
// performs a graceful shutdown.
func serve(ctx context.Context, cfg settings.Instance) error {
	logger := newLogger(os.Stderr, cfg.LogLevel)
	d, stop, err := daemon.Start(context.WithoutCancel(ctx), cfg, daemon.DefaultTiming(), logger)
	if err != nil {
		return err
	}
	defer stop()
	select {
	case err := <-d.Failed():
		return fmt.Errorf("instance failed: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	d.Shutdown(shutdownCtx)
	return nil
}
