package control

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/text"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// allowance is how many ranges of a service may still move, as a bucket that
// fills with time.
type allowance struct {
	service string
	tokens  float64
	at      timer.Instant
}

const (
	// balanceBatch is how many ranges of a service move at the same time.
	balanceBatch = 4
	// allowanceSpan is the time whose moves may be saved up.
	allowanceSpan = 10 * time.Second
	// churnShare is the part of the mean by which targets may differ where the
	// deployment weighs churn.
	churnShare = 4
	// minGap is the smallest difference in ranges that is worth a move.
	minGap = 2
)

// allowanceOf returns what a service may move now.
func (p Planner) allowanceOf(s text.Service, now timer.Instant) allowance {
	burst := max(float64(s.MovesAMinute)*allowanceSpan.Minutes(), 1)
	if s.MovesAMinute == 0 {
		burst = 0
	}
	i := slices.IndexFunc(p.moves, func(a allowance) bool { return a.service == s.Name })
	if i < 0 {
		return allowance{service: s.Name, tokens: burst, at: now}
	}
	a := p.moves[i]
	a.tokens = min(a.tokens+now.Sub(a.at).Minutes()*float64(s.MovesAMinute), burst)
	a.at = now
	return a
}

func (p Planner) withAllowance(a allowance) Planner {
	p.moves = slices.DeleteFunc(slices.Clone(p.moves), func(x allowance) bool { return x.service == a.service })
	p.moves = append(p.moves, a)
	return p
}

// planBalance moves ranges from the target with the most to the one with the
// fewest, as far as the service's moves a minute allow. It reports whether any
// service is out of balance.
func (p Planner) planBalance(s State, v View) (Planner, Command, bool) {
	wanted := false
	for _, service := range s.accepted.Services {
		keys, ok := s.Table(service.Name)
		if !ok || inMotion(keys) > 0 {
			continue
		}
		high, excess := surplus(s, service.Name, keys)
		if excess == 0 {
			continue
		}
		wanted = true
		a := p.allowanceOf(service, v.Now)
		n := min(excess, balanceBatch, int(a.tokens))
		if n == 0 {
			p = p.withAllowance(a)
			continue
		}
		a.tokens -= float64(n)
		return p.withAllowance(a), Command{Revoke: &Revoke{Ranges: firstOwned(service.Name, keys, high, n)}}, true
	}
	return p, Command{}, wanted
}

// surplus returns the target with the most ranges and how many of them should
// go to the one with the fewest.
func surplus(s State, service string, keys keyspace.Table) (keyspace.Owner, int) {
	counts := ownedCounts(s, service, keys)
	low, ok := fewest(counts)
	if !ok {
		return low, 0
	}
	high := most(counts)
	gap := counts[high] - counts[low]
	if gap < gapWorthAMove(s, keys.Len(), len(counts)) {
		return high, 0
	}
	return high, gap / 2
}

// gapWorthAMove is the difference between two targets from which on a move pays
// for itself: any that evens out, unless the deployment weighs churn.
func gapWorthAMove(s State, ranges, targets int) int {
	if s.accepted.Weighs != text.WeighsChurn {
		return minGap
	}
	return max(minGap, ranges/targets/churnShare)
}

func firstOwned(service string, keys keyspace.Table, owner keyspace.Owner, n int) []RangeRef {
	var out []RangeRef
	for _, r := range keys.All() {
		if r.Owner == owner && r.Phase == keyspace.Active && len(out) < n {
			out = append(out, refOf(service, r))
		}
	}
	return out
}

func most(counts map[keyspace.Owner]int) keyspace.Owner {
	var best keyspace.Owner
	for owner, n := range counts {
		if best.Target == "" || n > counts[best] || (n == counts[best] && owner.Target < best.Target) {
			best = owner
		}
	}
	return best
}
