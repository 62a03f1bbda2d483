package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/explain"
)

func newExplain() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Tell one request's story from log files",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if output != "text" && output != "json" {
				return withCode(exitInvalid, fmt.Errorf("--output %q: must be text or json", output))
			}
			timeline, err := readTimeline(args[0], args[1:])
			if err != nil {
				return err
			}
			if output == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(timeline)
			}
			return timeline.WriteText(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&output, "output", "text", "text or json")
	return cmd
}

// readTimeline returns the timeline of a request from log files.
func readTimeline(id string, paths []string) (timeline explain.Timeline, err error) {
	var readers []io.Reader
	for _, path := range paths {
		f, openErr := os.Open(path)
		if openErr != nil {
			return timeline, withCode(exitInvalid, openErr)
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		readers = append(readers, f)
	}
	return explain.Read(id, readers...)
}
