package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/standin"
)

func newStandin() *cobra.Command {
	cfg := standin.Config{Crash: standin.ExitOnCrash}
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run one stand-in target, to try a deployment without real ones",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, stop, err := standin.Start(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			defer stop()
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "stand-in target %s listens on %s\n", t.Name(), t.Address())
			return drainOnSignal(cmd.Context(), t)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Name, "name", "", "name of the target")
	flags.StringVar(&cfg.Service, "service", "", "service that it belongs to")
	flags.StringVar(&cfg.Kind, "kind", "lookup", "what it serves: lookup, booking or download")
	flags.StringVar(&cfg.Address, "address", "127.0.0.1:0", "address that it listens on")
	flags.StringVar(&cfg.AvailabilityZone, "availability-zone", "zone-a", "availability zone that it announces")
	flags.IntVar(&cfg.Slots, "slots", 3, "requests that it runs at a time")
	flags.IntVar(&cfg.Connections, "connections", 120, "connections that it accepts")
	flags.BoolVar(&cfg.ChecksFence, "checks-fence", true, "refuse requests and orders with an old epoch")
	flags.StringSliceVar(&cfg.Announce, "announce", nil, "addresses that take its heartbeats")
	flags.DurationVar(&cfg.Work, "work", 5*time.Millisecond, "time spent on each request")
	flags.IntVar(&cfg.DownloadBytes, "download-bytes", 1<<20, "length of a download")
	flags.StringVar(&cfg.RecordPath, "record", "", "file for a JSON line per accepted request")
	_ = cmd.MarkFlagRequired("name")
	_ = cmd.MarkFlagRequired("service")
	_ = cmd.MarkFlagRequired("announce")
	return cmd
}

// drainOnSignal makes the target drain at each drain signal. It returns when ctx ends.
func drainOnSignal(ctx context.Context, t *standin.Target) error {
	drain, stop := drainSignal()
	defer stop()
	for {
		select {
		case <-drain:
			t.Drain()
		case <-ctx.Done():
			return nil
		}
	}
}
