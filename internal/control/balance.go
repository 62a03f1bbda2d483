package control

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// moveBudget is a token bucket that limits how many ranges of a service move. It
// refills at MovesPerMinute.
type moveBudget struct {
	service string
	tokens  float64
	updated timer.Instant
}

const (
	// maxBalanceMoves limits the ranges of a service that move at the same time.
	maxBalanceMoves = 4
	// burstPeriod is the time over which unused moves accumulate.
	burstPeriod = 10 * time.Second
	// In deployments that set weighs = churn, which prefer few moves, the threshold
	// is at least 1/churnGapDivisor of a mean target's ranges, multiplied by
	// churnGapFactor.
	churnGapDivisor = 4
	// churnGapFactor multiplies the threshold in deployments that set weighs = churn.
	churnGapFactor = 2
	// minRangeGap is the smallest difference in ranges between two targets that is
	// worth a move.
	minRangeGap = 2
)

// budgetOf returns the service's budget, refilled up to now.
func (p Planner) budgetOf(s config.Service, now timer.Instant) moveBudget {
	burst := max(float64(s.MovesPerMinute)*burstPeriod.Minutes(), 1)
	if s.MovesPerMinute == 0 {
		burst = 0
	}
	i := slices.IndexFunc(p.budgets, func(b moveBudget) bool { return b.service == s.Name })
	if i < 0 {
		return moveBudget{service: s.Name, tokens: burst, updated: now}
	}
	b := p.budgets[i]
	b.tokens = min(b.tokens+now.Sub(b.updated).Minutes()*float64(s.MovesPerMinute), burst)
	b.updated = now
	return b
}

func (p Planner) withBudget(b moveBudget) Planner {
	p.budgets = slices.DeleteFunc(slices.Clone(p.budgets), func(x moveBudget) bool { return x.service == b.service })
	p.budgets = append(p.budgets, b)
	return p
}

// planBalance plans the moves of ranges from the heaviest target of a service to the
// lightest one, within the service's MovesPerMinute. A hot key is split from its range
// first. It reports whether a service is out of balance.
func (p Planner) planBalance(s State, ls LeaderState) (Planner, Command, bool) {
	unbalanced := false
	for _, service := range s.config.Services {
		keys, ok := s.Table(service.Name)
		if !ok || countMoving(keys) > 0 {
			continue
		}
		w := computeWeights(s, ls.Loads, service.Name, keys)
		if split, ok := w.planSplit(service, keys, ls.Loads); ok {
			return p, Command{Split: &split}, true
		}
		moves := w.planMoves(s, service.Name, keys)
		if len(moves) == 0 {
			continue
		}
		unbalanced = true
		b := p.budgetOf(service, ls.Now)
		n := min(len(moves), int(b.tokens))
		b.tokens -= float64(n)
		p = p.withBudget(b)
		if n > 0 {
			return p, Command{Revoke: &Revoke{Ranges: moves[:n]}}, true
		}
	}
	return p, Command{}, unbalanced
}
