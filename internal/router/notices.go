package router

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// notice is the crashes at which a kind of request was in flight, as entries tell
// each other. Control's word replaces it within a renewal.
type notice struct {
	crashes []keyspace.Owner
	until   timer.Instant
}

const (
	noticeTime    = 2 * time.Second
	noticeCrashes = 2 // crashes from which on a kind of request is blocked
	maxNotices    = 1024
)

// blocks reports whether requests of this kind are refused.
func (n notice) blocks(now timer.Instant) bool {
	return len(n.crashes) >= noticeCrashes && now < n.until
}

// noticeCrash notes a crash against all requests that were in flight.
func (r *Router) noticeCrash(e CrashNoticed) {
	for f, n := range r.notices {
		if e.Now >= n.until {
			delete(r.notices, f)
		}
	}
	for _, f := range e.Fingerprints {
		n := r.notices[f]
		if len(r.notices) >= maxNotices && len(n.crashes) == 0 {
			return
		}
		if !slices.Contains(n.crashes, e.Owner) {
			n.crashes = append(slices.Clip(n.crashes), e.Owner)
		}
		n.until = e.Now.Add(noticeTime)
		r.notices[f] = n
	}
}
