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

// errBase reports changes that were made for another view than the entry's.
var errBase = errors.New("changes are for another version")

// viewOf applies what changed to the last view. The configuration is parsed only
// where it changed.
func viewOf(in *instance.View, last *router.View) (*router.View, error) {
	if in.Since != 0 && in.Since != last.Version {
		return nil, fmt.Errorf("version %d, changes since %d: %w", last.Version, in.Since, errBase)
	}
	out := &router.View{Version: in.Version, ConfigVersion: in.ConfigVersion, Config: last.Config}
	if in.ConfigVersion != last.ConfigVersion {
		parsed, err := config.Parse("text", in.Source)
		if err != nil {
			return nil, err
		}
		out.Config = parsed
	}
	out.Targets = targetsOf(in, last)
	out.Blocked, out.Suspected = suspectsOf(in.Suspects)
	tables, err := tablesOf(in, last)
	out.Tables = tables
	return out, err
}

func targetsOf(in *instance.View, last *router.View) map[string]control.Target {
	out := make(map[string]control.Target, len(in.Targets))
	if in.Since != 0 {
		maps.Copy(out, last.Targets)
	}
	for _, t := range in.Targets {
		out[t.Name] = t
	}
	return out
}

func tablesOf(in *instance.View, last *router.View) (map[string]keyspace.Table, error) {
	out := make(map[string]keyspace.Table, len(in.Tables))
	for _, t := range in.Tables {
		keys, err := tableOf(t, last)
		if err != nil {
			return nil, fmt.Errorf("table of service %q: %w", t.Service, err)
		}
		out[t.Service] = keys
	}
	return out, nil
}

func tableOf(t control.ServiceTable, last *router.View) (keyspace.Table, error) {
	if t.Whole {
		return keyspace.FromRanges(t.Ranges)
	}
	keys, ok := last.Tables[t.Service]
	switch {
	case !ok:
		return keys, errBase
	case len(t.Ranges) == 0:
		return keys, nil
	default:
		return keys.WithRanges(t.Ranges...)
	}
}

func suspectsOf(suspects []control.Suspect) (blocked, suspected map[string]bool) {
	blocked, suspected = make(map[string]bool), make(map[string]bool)
	for _, s := range suspects {
		suspected[s.Fingerprint] = true
		blocked[s.Fingerprint] = s.Blocked()
	}
	return blocked, suspected
}
