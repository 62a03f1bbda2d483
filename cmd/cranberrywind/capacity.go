package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/capacity"
)

// capacityReply is the JSON form of the estimate.
type capacityReply struct {
	Size   capacity.Size   `json:"size"`
	Layout capacity.Layout `json:"layout"`
	Rows   []capacity.Row  `json:"rows"`
}

func newCapacity() *cobra.Command {
	s := capacity.Stated()
	var f operatorFlags
	var fits bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what each role needs at a size, from the measured slopes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			lines, err := capacity.Load()
			if err != nil {
				return err
			}
			if fits {
				return writeFits(cmd.OutOrStdout(), lines)
			}
			l, rows := capacity.Estimate(lines, s)
			return f.print(cmd.OutOrStdout(), capacityReply{Size: s, Layout: l, Rows: rows}, func(w io.Writer) error {
				return capacity.WriteText(w, l, rows)
			})
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&s.Nodes, "nodes", s.Nodes, "instances and targets together")
	flags.Float64Var(&s.Keys, "keys", s.Keys, "keys in use; the cost does not depend on them")
	flags.Float64Var(&s.Requests, "rps", s.Requests, "requests a second")
	flags.Float64Var(&s.Bookings, "booking-share", s.Bookings, "share of the requests that are bookings")
	flags.Float64Var(&s.Changes, "changes", s.Changes, "accepted texts a day")
	flags.Float64Var(&s.Losses, "losses", s.Losses, "instances and targets lost a day")
	flags.Float64Var(&s.Restarts, "restarts", s.Restarts, "restarts a day")
	flags.Float64Var(&s.Zones, "zones", s.Zones, "availability zones")
	flags.Float64Var(&s.Cores, "cores", s.Cores, "cores of one entry")
	flags.Float64Var(&s.Utilization, "utilization", s.Utilization, "share of an entry's cores that requests may use")
	flags.Float64Var(&s.Retention, "retention", s.Retention, "hours that booking records are kept")
	flags.Float64Var(&s.Control, "control", s.Control, "instances set aside for control")
	flags.StringVar(&f.output, "output", "text", "text or json")
	flags.BoolVar(&fits, "fits", false, "print the measured slopes instead")
	return cmd
}

func writeFits(w io.Writer, fits capacity.Fits) error {
	for _, name := range fits.Names() {
		x := fits[name]
		_, err := fmt.Fprintf(w, "%-18s %s = %.4g + %.4g x %s; R2 %.3f, worst residual %.1f%%; %s\n",
			name, x.Unit, x.Fixed, x.Slope, x.Per, x.R2, 100*x.Worst, x.Command)
		if err != nil {
			return err
		}
	}
	return nil
}
