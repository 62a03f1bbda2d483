package control

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
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
	// churnFactor is how many times larger a difference must be there.
	churnFactor = 2
	// minGap is the smallest difference in ranges that is worth a move.
	minGap = 2
)

// allowanceOf returns what a service may move now.
func (p Planner) allowanceOf(s config.Service, now timer.Instant) allowance {
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

// planBalance moves ranges from the busiest target to the least busy one, as far
// as the service's moves a minute allow, and cuts a hot key out of its range
// first. It reports whether any service is out of balance.
func (p Planner) planBalance(s State, v View) (Planner, Command, bool) {
	wanted := false
	for _, service := range s.accepted.Services {
		keys, ok := s.Table(service.Name)
		if !ok || inMotion(keys) > 0 {
			continue
		}
		w := weigh(s, v.Loads, service.Name, keys)
		if split, ok := w.planSplit(service, keys, v.Loads); ok {
			return p, Command{Split: &split}, true
		}
		moves := w.planMoves(s, service.Name, keys)
		if len(moves) == 0 {
			continue
		}
		wanted = true
		a := p.allowanceOf(service, v.Now)
		n := min(len(moves), int(a.tokens))
		a.tokens -= float64(n)
		p = p.withAllowance(a)
		if n > 0 {
			return p, Command{Revoke: &Revoke{Ranges: moves[:n]}}, true
		}
	}
	return p, Command{}, wanted
}
