package entry

import (
	"errors"
	"fmt"
	"maps"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// errWrongVersion reports changes that can't be applied, since they are based on
// another version than the entry's view.
var errWrongVersion = errors.New("changes are based on another version")

// nextView returns the view after applying the changes to the previous one. It parses
// the configuration only if that changed.
func nextView(in *instance.View, prev *router.View) (*router.View, error) {
	if in.Since != 0 && in.Since != prev.Version {
		return nil, fmt.Errorf("version %d, changes since %d: %w", prev.Version, in.Since, errWrongVersion)
	}
	out := &router.View{Version: in.Version, ConfigVersion: in.ConfigVersion, Config: prev.Config}
	if in.ConfigVersion != prev.ConfigVersion {
		parsed, err := config.Parse("text", in.Source)
		if err != nil {
			return nil, err
		}
		out.Config = parsed
	}
	out.Targets = targetsOf(in, prev)
	out.Blocked, out.Suspected = suspectsOf(in.Suspects)
	tables, err := tablesOf(in, prev)
	out.Tables = tables
	return out, err
}

func targetsOf(in *instance.View, prev *router.View) map[string]control.Target {
	out := make(map[string]control.Target, len(in.Targets))
	if in.Since != 0 {
		maps.Copy(out, prev.Targets)
	}
	for _, t := range in.Targets {
		out[t.Name] = t
	}
	return out
}

func tablesOf(in *instance.View, prev *router.View) (map[string]keyspace.Table, error) {
	out := make(map[string]keyspace.Table, len(in.Tables))
	for _, t := range in.Tables {
		table, err := tableOf(t, prev)
		if err != nil {
			return nil, fmt.Errorf("table of service %q: %w", t.Service, err)
		}
		out[t.Service] = table
	}
	return out, nil
}

func tableOf(t control.ServiceTable, prev *router.View) (keyspace.Table, error) {
	if t.Whole {
		return keyspace.FromRanges(t.Ranges)
	}
	table, ok := prev.Tables[t.Service]
	switch {
	case !ok:
		return table, errWrongVersion
	case len(t.Ranges) == 0:
		return table, nil
	default:
		return table.WithRanges(t.Ranges...)
	}
}

// suspectsOf returns the fingerprints of the blocked and of all suspected requests.
func suspectsOf(suspects []control.Suspect) (blocked, suspected map[string]bool) {
	blocked, suspected = make(map[string]bool), make(map[string]bool)
	for _, s := range suspects {
		suspected[s.Fingerprint] = true
		blocked[s.Fingerprint] = s.Blocked()
	}
	return blocked, suspected
}
