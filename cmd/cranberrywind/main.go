// Command cranberrywind runs instances of the router and contains the commands for
// operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the process.
const (
	exitFailure     = 1 // the command failed
	exitInvalid     = 2 // arguments, settings or configuration are invalid
	exitSuperseded  = 3 // another change was accepted on the same base version
	exitUnreachable = 4 // no instance could be reached, or it could not serve the command
)

// version is set by the linker for releases.
var version = "development"

// exitError is an error with the exit code that the process returns for it.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

func main() {
	ctx, stop := signalContext(context.Background())
	err := newRoot().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var coded *exitError
	if errors.As(err, &coded) {
		os.Exit(coded.code)
	}
	os.Exit(exitFailure)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cranberrywind",
		Short:         "Route each request to the one target that owns its key",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(), newRoute(), newDev(), newStandin(), newCheck(), newConfig(),
		newKeys(), newTargets(), newReport(), newLoad(), newCapacity(), newExplain(), newZones(), newFeatures(), newVersion(),
	)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "cranberrywind", version)
			return err
		},
	}
}
