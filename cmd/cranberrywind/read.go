package main

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/burn"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/operator"
)

// newGet returns a command that fetches a JSON document and prints it.
func newGet[T any](use, short, path string, asText func(w io.Writer, v T) error) *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := get[T](cmd.Context(), &f, path)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), v, func(w io.Writer) error { return asText(w, v) })
		},
	}
	f.add(cmd)
	return cmd
}

func newShow() *cobra.Command {
	return newGet("show", "Print the accepted text", "/v1/text", func(w io.Writer, v operator.ConfigResponse) error {
		_, err := fmt.Fprintf(w, "; version %d, change %s\n%s", v.Version, v.ChangeID, v.Source)
		return err
	})
}

func newHistory() *cobra.Command {
	return newGet("history", "List the accepted texts", "/v1/text/history", func(w io.Writer, v []operator.ConfigResponse) error {
		for _, c := range v {
			if _, err := fmt.Fprintf(w, "%6d  %s  %d bytes\n", c.Version, c.ChangeID, len(c.Source)); err != nil {
				return err
			}
		}
		return nil
	})
}

func newStatus() *cobra.Command {
	return newGet("status", "Show versions, open changes, instances and groups", "/v1/status", writeStatus)
}

func writeStatus(w io.Writer, v operator.StatusResponse) error {
	_, err := fmt.Fprintf(w, "text version %d, table version %d\ntargets: %d live, %d draining, %d lost\n",
		v.ConfigVersion, v.Version, v.Targets["live"], v.Targets["draining"], v.Targets["lost"])
	for _, c := range v.OpenChanges {
		if err == nil {
			err = writeChange(w, c)
		}
	}
	for _, e := range v.Entries {
		if err == nil {
			_, err = fmt.Fprintf(w, "entry %s: table version %d, lease over: %t\n", e.Instance, e.Acked, e.LeaseExpired)
		}
	}
	return err
}

func newChange() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "change ID",
		Short: "Tell what became of a change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := get[control.ChangeRecord](cmd.Context(), &f, "/v1/changes/"+url.PathEscape(args[0]))
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), c, func(w io.Writer) error { return writeChange(w, c) })
		},
	}
	f.add(cmd)
	return cmd
}

func newTargets() *cobra.Command {
	return newGet("targets", "List the targets as they announced themselves", "/v1/targets", func(w io.Writer, v []control.Target) error {
		for _, t := range v {
			_, err := fmt.Fprintf(w, "%-24s %-16s %-9s %-22s %-12s slots %d, connections %d, checks fences: %t\n",
				t.Name, t.Service, t.Status, t.Address, t.AvailabilityZone, t.Slots, t.Connections, t.ChecksFence)
			if err != nil {
				return err
			}
		}
		return nil
	})
}

func newKeys() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{Use: "keys", Short: "Look at the ownership of keys"}
	owner := &cobra.Command{
		Use:   "owner SERVICE KEY",
		Short: "Tell which target owns a key",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{"service": {args[0]}, "key": {args[1]}}
			v, err := get[operator.KeyResponse](cmd.Context(), &f, "/v1/keys?"+query.Encode())
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), v, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s %s: target %s (%s), epoch %d\n", v.Service, v.Key, v.Owner.Target, v.Phase, v.Epoch)
				return err
			})
		},
	}
	f.add(owner)
	cmd.AddCommand(owner)
	return cmd
}

func newReport() *cobra.Command {
	cmd := &cobra.Command{Use: "report", Short: "Reports on how callers are served"}
	cmd.AddCommand(newBurn(), newOwnership())
	return cmd
}

func newOwnership() *cobra.Command {
	return newGet("ownership", "Show imbalance and moves of each service's keys", "/v1/status", func(w io.Writer, v operator.StatusResponse) error {
		for _, b := range v.Balances {
			_, err := fmt.Fprintf(w, "%-20s %8.1f requests/s, imbalance %.2f (busiest target over the mean), %d ranges, %d moved\n",
				b.Service, b.Rate, b.Imbalance, b.Ranges, b.Moved)
			if err != nil {
				return err
			}
		}
		return nil
	})
}

var errNoReport = errors.New("no instance returned a burn rate report")

func newBurn() *cobra.Command {
	var f operatorFlags
	var addresses []string
	cmd := &cobra.Command{
		Use:   "burn --instances ADDRESS,…",
		Short: "Show how fast each service uses up its error budget",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			merged, err := fetchBurn(cmd, f, addresses)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), merged, merged.WriteText)
		},
	}
	f.add(cmd)
	cmd.Flags().StringSliceVar(&addresses, "instances", nil, "operators' addresses of all instances (the one of --operator if empty)")
	return cmd
}

// fetchBurn fetches the burn rate reports of the instances and merges them. It skips an
// instance whose report can't be fetched and writes the error to stderr.
func fetchBurn(cmd *cobra.Command, f operatorFlags, addresses []string) (burn.Report, error) {
	if len(addresses) == 0 {
		addresses = []string{f.address}
	}
	var reports []burn.Report
	for _, a := range slices.Compact(addresses) {
		flags := f
		flags.address = a
		r, err := get[burn.Report](cmd.Context(), &flags, "/v1/burn")
		if err != nil {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "instance %s left out: %v\n", a, err)
			continue
		}
		reports = append(reports, r)
	}
	if len(reports) == 0 {
		return burn.Report{}, withCode(exitUnreachable, errNoReport)
	}
	return burn.Merge(reports), nil
}
