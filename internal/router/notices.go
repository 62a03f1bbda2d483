package router

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// notice is the deaths at which a kind of request was in flight, as entries tell
// each other. Control's word replaces it within a renewal.
type notice struct {
	deaths []keyspace.Owner
	until  timer.Instant
}

const (
	noticeTime   = 2 * time.Second
	noticeDeaths = 2 // deaths from which on a kind of request is held
	maxNotices   = 1024
)

// holds reports whether requests of this kind are refused.
func (n notice) holds(now timer.Instant) bool {
	return len(n.deaths) >= noticeDeaths && now < n.until
}

// notice notes a death against all requests that were in flight.
func (r *Router) notice(e Noticed) {
	for f, n := range r.notices {
		if e.Now >= n.until {
			delete(r.notices, f)
		}
	}
	for _, f := range e.Fingerprints {
		n := r.notices[f]
		if len(r.notices) >= maxNotices && len(n.deaths) == 0 {
			return
		}
		if !slices.Contains(n.deaths, e.Owner) {
			n.deaths = append(slices.Clip(n.deaths), e.Owner)
		}
		n.until = e.Now.Add(noticeTime)
		r.notices[f] = n
	}
}
