package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

func newFeatures() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "features",
		Short: "Show the agreed feature level of a routed deployment and who holds it back",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := get[instance.FeaturesResponse](cmd.Context(), &f, "/features")
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), v, func(w io.Writer) error { return writeFeatures(w, v) })
		},
	}
	cmd.Flags().StringVar(&f.address, "metrics", "127.0.0.1:8082", "metrics address of any control instance")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
	return cmd
}

func writeFeatures(w io.Writer, v instance.FeaturesResponse) error {
	_, err := fmt.Fprintf(w, "feature level %d agreed, level %d supported by this instance, leader %s\n", v.Agreed, v.Supported, v.Leader)
	for _, holder := range v.HeldBackBy {
		if err == nil {
			_, err = fmt.Fprintf(w, "held back by %s\n", holder)
		}
	}
	return err
}
