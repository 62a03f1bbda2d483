package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// PoolSize is the number of unkeyed targets that a pool has on average.
const PoolSize = 8

// preferredPools is the number of pools of a service in a zone among which an entry chooses.
// With more, the requests of 500 entries of a zone would open a connection almost each.
const preferredPools = 4

// poolSpread is by how much the largest pool may exceed the mean size. Smaller values
// move more targets when one comes or goes.
const poolSpread = 1.25

// Entry is an entry that can be a dispatcher.
type Entry struct {
	ID      string
	Address string // at which it serves the dispatch service
	Zone    string
}

// PoolInfo is a pool with its dispatcher.
type PoolInfo struct {
	ID      string // the same at every entry
	Service string
	Zone    string
	Keyed   bool
	Targets []string // IDs, sorted
	// Dispatcher is the entry that decides for the pool. It is the zero value if there is
	// no live entry.
	Dispatcher Entry
}

// Assignment maps targets to pools and pools to dispatchers. It is immutable.
type Assignment struct {
	pools    []PoolInfo // by ID
	byTarget map[string]int
	byZone   map[serviceZone][]int
}

type serviceZone struct{ service, zone string }

// Pools returns all pools, sorted by ID.
func (a Assignment) Pools() []PoolInfo { return a.pools }

// PoolOf returns the pool of a target.
func (a Assignment) PoolOf(target string) (PoolInfo, bool) {
	i, ok := a.byTarget[target]
	if !ok {
		return PoolInfo{}, false
	}
	return a.pools[i], true
}

// PoolsIn returns the pools of a service in a zone.
func (a Assignment) PoolsIn(service, zone string) []PoolInfo {
	indexes := a.byZone[serviceZone{service, zone}]
	out := make([]PoolInfo, len(indexes))
	for i, index := range indexes {
		out[i] = a.pools[index]
	}
	return out
}

// Preferred returns the pools of a service in a zone among which an entry should choose: all
// of a few, or those of the highest ranks for that entry.
func (a Assignment) Preferred(entry, service, zone string) []PoolInfo {
	pools := a.PoolsIn(service, zone)
	if len(pools) <= preferredPools {
		return pools
	}
	h := xxhash.Sum64String(entry)
	slices.SortFunc(pools, func(x, y PoolInfo) int {
		return cmp.Compare(rank(h, xxhash.Sum64String(y.ID)), rank(h, xxhash.Sum64String(x.ID)))
	})
	return pools[:preferredPools]
}

// Assign returns the pools of the targets and their dispatchers, the same for the same
// arguments in any order. keyed tells whether a service has keys: each of its targets is
// a pool of its own. The others of a service in a zone are divided into pools of about
// PoolSize. A change of one target or entry moves little, except that a change of the
// number of pools of a service moves the share of one pool. The targets should include
// those that may get no requests now, so that a target that comes back moves nothing.
func Assign(targets []deployment.Target, entries []Entry, keyed func(service string) bool) Assignment {
	groups := make(map[serviceZone][]string)
	a := Assignment{byTarget: make(map[string]int, len(targets)), byZone: make(map[serviceZone][]int)}
	for _, t := range targets {
		if keyed(t.Service) {
			a.pools = append(a.pools, PoolInfo{
				ID: t.Service + "/" + t.ID, Service: t.Service, Zone: t.AvailabilityZone, Keyed: true, Targets: []string{t.ID},
			})
			continue
		}
		g := serviceZone{t.Service, t.AvailabilityZone}
		groups[g] = append(groups[g], t.ID)
	}
	for g, ids := range groups {
		a.pools = append(a.pools, divide(g, ids)...)
	}
	slices.SortFunc(a.pools, func(x, y PoolInfo) int { return strings.Compare(x.ID, y.ID) })
	choose := newChooser(entries)
	for i := range a.pools {
		p := &a.pools[i]
		p.Dispatcher = choose.dispatcher(p.ID, p.Zone)
		for _, id := range p.Targets {
			a.byTarget[id] = i
		}
		z := serviceZone{p.Service, p.Zone}
		a.byZone[z] = append(a.byZone[z], i)
	}
	return a
}

// divide divides the targets of a service in a zone into pools. Each target goes to the
// pool of the highest rank among those that are not full.
func divide(g serviceZone, ids []string) []PoolInfo {
	slices.Sort(ids)
	count := max(1, (len(ids)+PoolSize/2)/PoolSize)
	pools := make([]PoolInfo, count)
	hashes := make([]uint64, count)
	for i := range pools {
		pools[i] = PoolInfo{ID: g.service + "/" + g.zone + "/" + strconv.Itoa(i), Service: g.service, Zone: g.zone}
		hashes[i] = xxhash.Sum64String(pools[i].ID)
	}
	full := int(math.Ceil(poolSpread * float64(len(ids)) / float64(count)))
	for _, id := range ids {
		h, best := xxhash.Sum64String(id), -1
		for i := range pools {
			if len(pools[i].Targets) < full && (best < 0 || rank(h, hashes[i]) > rank(h, hashes[best])) {
				best = i
			}
		}
		pools[best].Targets = append(pools[best].Targets, id)
	}
	return slices.DeleteFunc(pools, func(p PoolInfo) bool { return len(p.Targets) == 0 })
}

// chooser chooses dispatchers by rendezvous hashing.
type chooser struct {
	all    []hashedEntry
	byZone map[string][]hashedEntry
}

type hashedEntry struct {
	Entry
	hash uint64
}

func newChooser(entries []Entry) chooser {
	c := chooser{byZone: make(map[string][]hashedEntry)}
	for _, e := range entries {
		h := hashedEntry{Entry: e, hash: xxhash.Sum64String(e.ID)}
		c.all = append(c.all, h)
		c.byZone[e.Zone] = append(c.byZone[e.Zone], h)
	}
	return c
}

// dispatcher returns the entry of the highest rank in the zone, or in all zones if there
// is none in it.
func (c chooser) dispatcher(pool, zone string) Entry {
	candidates := c.byZone[zone]
	if len(candidates) == 0 {
		candidates = c.all
	}
	h := xxhash.Sum64String(pool)
	best, bestRank := Entry{}, uint64(0)
	for _, e := range candidates {
		r := rank(h, e.hash)
		if best.ID == "" || r > bestRank || r == bestRank && cmp.Less(e.ID, best.ID) {
			best, bestRank = e.Entry, r
		}
	}
	return best
}

// rank mixes two hashes into the rank of a pair (the finalizer of MurmurHash3).
func rank(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
