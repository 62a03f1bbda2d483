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
	for i, share := range r.Split {
		total += share.Weight
		st.credits[i] += share.Weight
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
