package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/fleet"
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
			return route(cmd.Context(), cfg)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "INI file with the instance's settings")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// route runs an instance until ctx ends, then stops it as planned.
func route(ctx context.Context, cfg settings.Routed) error {
	logger := newLogger(os.Stdout, cfg.LogLevel)
	adapter, closeAdapter := platform.Adapter()
	defer closeAdapter()
	f, stop, err := fleet.Start(context.WithoutCancel(ctx), cfg, adapter, logger)
	if err != nil {
		return err
	}
	defer stop()
	select {
	case err := <-f.Failed():
		logger.Error("instance failed", "error", err)
		return fmt.Errorf("instance failed: %w", err)
	case <-ctx.Done():
	}
	f.Shutdown(context.WithoutCancel(ctx))
	return nil
}
