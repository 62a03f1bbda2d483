package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/local"
)

// devPaths holds the paths of example requests for each deployment: a lookup, a
// booking and a download.
var devPaths = map[string][3]string{
	"zarqa":       {"/stock/palm-oil", "/orders/grocer-7", "/sheets/today.pdf"},
	"new_england": {"/boxes/worcester-3", "/dispatch/pickup-12", "/kits/signage.zip"},
}

type devFlags struct {
	caller     string
	operator   string
	data       string
	deployment string
}

func newDev() *cobra.Command {
	var f devFlags
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small deployment in this process, on loopback",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return dev(cmd, f) },
	}
	cmd.Flags().StringVar(&f.caller, "caller", "127.0.0.1:8080", "address for callers")
	cmd.Flags().StringVar(&f.operator, "operator", "127.0.0.1:8081", "address for operators")
	cmd.Flags().StringVar(&f.data, "data", "", "data folder (a temporary one if empty)")
	cmd.Flags().StringVar(&f.deployment, "deployment", "zarqa", "example deployment: zarqa or new_england")
	return cmd
}

func dev(cmd *cobra.Command, f devFlags) error {
	paths, ok := devPaths[f.deployment]
	if !ok {
		return withCode(exitInvalid, fmt.Errorf("flag --deployment, value %q: must be zarqa or new_england", f.deployment))
	}
	if f.data == "" {
		dir, err := os.MkdirTemp("", "cranberrywind-dev-")
		if err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		f.data = dir
	}
	d, stop, err := local.Start(cmd.Context(), filepath.Clean(f.data),
		local.WithDeployment(f.deployment),
		local.WithAddresses(f.caller, f.operator),
		local.WithLog(newLogger(os.Stderr, "warn")),
	)
	if err != nil {
		return err
	}
	defer stop()
	if err := d.WaitReady(cmd.Context()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), `deployment %s is ready: 3 instances, %d stand-in targets
callers:   http://%s
operators: http://%s

Try:
  curl -i http://%s%s
  curl -i -X POST -H 'Idempotency-Key: first-try' -d 'qty=2' http://%s%s
  curl -i -o /dev/null http://%s%s

Ctrl-C ends it.
`, f.deployment, len(d.Targets), f.caller, f.operator, f.caller, paths[0], f.caller, paths[1], f.caller, paths[2])
	<-cmd.Context().Done()
	return nil
}
