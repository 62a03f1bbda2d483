package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/load"
)

func newLoad() *cobra.Command {
	var f operatorFlags
	var kinds []string
	cfg := load.Config{}
	cmd := &cobra.Command{
		Use:   "load --caller ADDRESS,… --kind NAME=METHOD:PREFIX:WEIGHT",
		Short: "Send requests at a fixed rate and measure the answers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := f.check(); err != nil {
				return err
			}
			for _, k := range kinds {
				kind, err := parseKind(k)
				if err != nil {
					return withCode(exitInvalid, err)
				}
				cfg.Kinds = append(cfg.Kinds, kind)
			}
			cfg.Progress = cmd.ErrOrStderr()
			r := load.Run(cmd.Context(), cfg)
			return f.print(cmd.OutOrStdout(), r, func(w io.Writer) error { return r.WriteText(w) })
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&cfg.Addresses, "caller", []string{"127.0.0.1:8080"}, "callers' addresses of entries, used in turn")
	flags.StringSliceVar(&kinds, "kind", []string{"lookup=GET:/stock/:0.9", "booking=POST:/orders/:0.1"}, "kinds of requests with their weights; POST carries new idempotency keys")
	flags.Float64Var(&cfg.Rate, "rate", 100, "requests a second, whatever the answers")
	flags.DurationVar(&cfg.Duration, "duration", 10*time.Second, "length of the run")
	flags.IntVar(&cfg.Keys, "keys", 10_000, "different keys")
	flags.Float64Var(&cfg.Skew, "skew", 1.1, "Zipf exponent of the keys, above 1; 0 for keys that are equally likely")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed of the requests drawn")
	flags.DurationVar(&cfg.Timeout, "timeout", 30*time.Second, "longest wait for an answer")
	flags.StringVar(&f.output, "output", "text", "text or json")
	return cmd
}

// parseKind parses NAME=METHOD:PREFIX:WEIGHT.
func parseKind(s string) (load.Kind, error) {
	name, rest, _ := strings.Cut(s, "=")
	parts := strings.Split(rest, ":")
	if name == "" || len(parts) != 3 {
		return load.Kind{}, fmt.Errorf("flag --kind, value %q: must be NAME=METHOD:PREFIX:WEIGHT", s)
	}
	weight, err := strconv.ParseFloat(parts[2], 64)
	if err != nil || weight <= 0 {
		return load.Kind{}, fmt.Errorf("flag --kind, value %q: weight %q must be a number above 0", s, parts[2])
	}
	return load.Kind{Name: name, Method: parts[0], Prefix: parts[1], Weight: weight, Booking: parts[0] == http.MethodPost}, nil
}
