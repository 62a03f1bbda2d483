package forward

import (
	"sync"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// splitter divides a route's requests among its services by smooth weighted round
// robin, so that the shares hold over few requests too.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*splitState
}

type splitState struct {
	shares  []deployment.WeightedService
	credits []float64
}

func newSplitter() *splitter { return &splitter{routes: make(map[string]*splitState)} }

// next returns the service for the route's next request.
func (s *splitter) next(r *deployment.Route) (string, bool) {
	if len(r.Split) == 1 {
		return r.Split[0].Service, r.Split[0].Weight > 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.routes[r.Name]
	if !ok || !sameShares(st.shares, r.Split) {
		st = &splitState{shares: r.Split, credits: make([]float64, len(r.Split))}
		s.routes[r.Name] = st
	}
	total, best := 0.0, -1
	scale := weightScale(r.Split)
	for i, share := range r.Split {
		total += share.Weight / scale
		st.credits[i] += share.Weight / scale
		if share.Weight > 0 && (best < 0 || st.credits[i] > st.credits[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	st.credits[best] -= total
	return r.Split[best].Service, true
}

// maxWeight is the largest weight whose sums stay well within a float64. Beyond it a sum may be
// infinite, and a credit not a number.
const maxWeight = 1e150

// weightScale returns the number by which weights are divided: 1 unless one is beyond maxWeight.
func weightScale(shares []deployment.WeightedService) float64 {
	largest := 0.0
	for _, share := range shares {
		largest = max(largest, share.Weight)
	}
	if largest <= maxWeight {
		return 1
	}
	return largest
}

func sameShares(a, b []deployment.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
