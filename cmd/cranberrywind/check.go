package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/settings"
)

func newCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a text or a settings file and print all its faults",
	}
	cmd.AddCommand(
		newCheckFile("text FILE", "Check a text before proposing it", func(name string, data []byte) error {
			_, err := config.Parse(name, data)
			return err
		}),
		newCheckFile("settings FILE", "Check an instance's settings", func(name string, data []byte) error {
			_, err := settings.ParseInstance(name, data)
			return err
		}),
	)
	return cmd
}

func newCheckFile(use, short string, check func(name string, data []byte) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return withCode(exitInvalid, err)
			}
			if err := check(args[0], data); err != nil {
				return withCode(exitInvalid, err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "no faults")
			return err
		},
	}
}
