package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/capacity"
)

// capacityReply is the JSON output of the capacity command.
type capacityReply struct {
	Size   capacity.Size   `json:"size"`
	Layout capacity.Layout `json:"layout"`
	Rows   []capacity.Row  `json:"rows"`
}

func newCapacity() *cobra.Command {
	size := capacity.ExpectedSize()
	var f operatorFlags
	var printFits bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what each role needs at a size, from the measured slopes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fits, err := capacity.Load()
			if err != nil {
				return err
			}
			if printFits {
				return writeFits(cmd.OutOrStdout(), fits)
			}
			layout, rows := capacity.Estimate(fits, size)
			return f.print(cmd.OutOrStdout(), capacityReply{Size: size, Layout: layout, Rows: rows}, func(w io.Writer) error {
				return capacity.WriteText(w, layout, rows)
			})
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&size.Nodes, "nodes", size.Nodes, "instances and targets together")
	flags.Float64Var(&size.Keys, "keys", size.Keys, "keys in use; the cost does not depend on them")
	flags.Float64Var(&size.Requests, "rps", size.Requests, "requests a second")
	flags.Float64Var(&size.Bookings, "booking-share", size.Bookings, "share of the requests that are bookings")
	flags.Float64Var(&size.Changes, "changes", size.Changes, "accepted texts a day")
	flags.Float64Var(&size.Losses, "losses", size.Losses, "instances and targets lost a day")
	flags.Float64Var(&size.Restarts, "restarts", size.Restarts, "restarts a day")
	flags.Float64Var(&size.Zones, "zones", size.Zones, "availability zones")
	flags.Float64Var(&size.Cores, "cores", size.Cores, "cores of one entry")
	flags.Float64Var(&size.Utilization, "utilization", size.Utilization, "share of an entry's cores that requests may use")
	flags.Float64Var(&size.Retention, "retention", size.Retention, "hours that booking records are kept")
	flags.Float64Var(&size.Control, "control", size.Control, "instances set aside for control")
	flags.StringVar(&f.output, "output", "text", "text or json")
	flags.BoolVar(&printFits, "fits", false, "print the measured slopes instead")
	return cmd
}

func writeFits(w io.Writer, fits capacity.Fits) error {
	for _, name := range fits.Names() {
		fit := fits[name]
		_, err := fmt.Fprintf(w, "%-18s %s = %.4g + %.4g x %s; R2 %.3f, worst residual %.1f%%; %s\n",
			name, fit.Unit, fit.Intercept, fit.Slope, fit.Per, fit.R2, 100*fit.MaxResidual, fit.Command)
		if err != nil {
			return err
		}
	}
	return nil
}
