package control

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// moveBucket is a token bucket that limits how many ranges of a service move. It
// refills at the service's moves a minute.
type moveBucket struct {
	service string
	tokens  float64
	updated timer.Instant
}

const (
	// maxBalanceMoves limits the ranges of a service that move at the same time.
	maxBalanceMoves = 4
	// burstPeriod is the time over which unused moves accumulate.
	burstPeriod = 10 * time.Second
	// churnGapDivisor sets the smallest threshold in deployments that weigh churn,
	// before churnGapFactor: 1/churnGapDivisor of a mean target's ranges.
	churnGapDivisor = 4
	// churnGapFactor multiplies the threshold in deployments that weigh churn.
	churnGapFactor = 2
	// minRangeGap is the smallest difference in ranges between two targets that is
	// worth a move.
	minRangeGap = 2
)

// bucketOf returns the service's bucket, refilled up to now.
func (p Planner) bucketOf(s config.Service, now timer.Instant) moveBucket {
	burst := max(float64(s.MovesPerMinute)*burstPeriod.Minutes(), 1)
	if s.MovesPerMinute == 0 {
		burst = 0
	}
	i := slices.IndexFunc(p.buckets, func(b moveBucket) bool { return b.service == s.Name })
	if i < 0 {
		return moveBucket{service: s.Name, tokens: burst, updated: now}
	}
	b := p.buckets[i]
	b.tokens = min(b.tokens+now.Sub(b.updated).Minutes()*float64(s.MovesPerMinute), burst)
	b.updated = now
	return b
}

func (p Planner) withBucket(b moveBucket) Planner {
	p.buckets = slices.DeleteFunc(slices.Clone(p.buckets), func(x moveBucket) bool { return x.service == b.service })
	p.buckets = append(p.buckets, b)
	return p
}

// planBalance plans the moves of ranges from the heaviest target of a service to the
// lightest one, within the service's moves a minute. A hot key is split from its
// range first. It reports whether a service is out of balance.
func (p Planner) planBalance(s State, ls LeaderState) (Planner, Command, bool) {
	unbalanced := false
	for _, service := range s.accepted.Services {
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
		b := p.bucketOf(service, ls.Now)
		n := min(len(moves), int(b.tokens))
		b.tokens -= float64(n)
		p = p.withBucket(b)
		if n > 0 {
			return p, Command{Revoke: &Revoke{Ranges: moves[:n]}}, true
		}
	}
	return p, Command{}, unbalanced
}
