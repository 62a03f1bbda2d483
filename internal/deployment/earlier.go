package deployment

// indexedConfig is a configuration with the log index at which it was accepted.
type indexedConfig struct {
	index  uint64
	config Config
	bytes  int // that it takes beside the configuration that replaced it
}

const (
	// maxEarlierConfigs is the number of replaced configurations that are kept. An entry
	// that has one of them gets the changes since, and else the whole configuration.
	maxEarlierConfigs = 16
	// maxEarlierBytes bounds what they take in memory beside what they share.
	maxEarlierBytes = 32 << 20
)

// withinBounds returns the last ones of the configurations that are kept.
func withinBounds(configs []indexedConfig) []indexedConfig {
	total, first := 0, len(configs)
	for first > 0 && len(configs)-first < maxEarlierConfigs {
		total += configs[first-1].bytes
		if total > maxEarlierBytes {
			break
		}
		first--
	}
	return configs[first:]
}

const (
	routeBytes = 160 // about what a Route takes without what it refers to
	shareBytes = 24  // about what a WeightedService takes
)

// bytesBeside returns about how much memory the configuration takes beside one that it shares
// unchanged routes with.
func (cfg Config) bytesBeside(other Config) int {
	total := len(cfg.Routes)*routeBytes + len(cfg.Source)
	i := 0
	for _, r := range cfg.Routes {
		for i < len(other.Routes) && other.Routes[i].Name < r.Name {
			i++
		}
		if i == len(other.Routes) || !sameMemory(r.Source, other.Routes[i].Source) {
			total += len(r.Source) + len(r.Host) + len(r.Prefix) + len(r.Name) + len(r.Split)*shareBytes
		}
	}
	return total
}

func sameMemory(a, b []byte) bool { return len(a) > 0 && len(b) > 0 && &a[0] == &b[0] }
