package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/fleet"
)

func newZones() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "zones --metrics ADDRESS",
		Short: "Show the availability zones of a routed deployment, and which are evacuated",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := get[fleet.ZoneReport](cmd.Context(), &f, "/zones")
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), report, func(w io.Writer) error { return writeZones(w, report) })
		},
	}
	cmd.Flags().StringVar(&f.address, "metrics", "", "metrics address of a control instance")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
	_ = cmd.MarkFlagRequired("metrics")
	return cmd
}

func writeZones(w io.Writer, report fleet.ZoneReport) error {
	if !report.Current {
		if _, err := fmt.Fprintln(w, "This instance has no leader; the state may be outdated."); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The writer keeps the first error for Flush.
	_, _ = fmt.Fprintln(t, "ZONE\tSTATE\tTARGETS\tKEYS")
	for _, z := range report.Zones {
		state := "in use"
		if z.Evacuated {
			state = fmt.Sprintf("evacuated at index %d", z.Index)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", z.Zone, state, z.Targets, z.Keys)
	}
	return t.Flush()
}
