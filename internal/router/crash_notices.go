package router

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// noticedCrashes lists the crashes during which a kind of request was in flight, from
// the notices that entries send each other. It expires crashNoticeTTL after the last
// notice. By then a new view contains the crash reports that control committed.
type noticedCrashes struct {
	crashes []keyspace.Owner
	expiry  timer.Instant
}

const (
	crashNoticeTTL    = 2 * time.Second
	blockAfterCrashes = 2    // as in internal/suspect
	maxNoticedKinds   = 1024 // kinds of requests
)

// blocks reports whether requests of this kind are rejected at now.
func (n noticedCrashes) blocks(now timer.Instant) bool {
	return len(n.crashes) >= blockAfterCrashes && now < n.expiry
}

// addCrashNotice records a crash for each fingerprint in flight, and removes expired
// notices. Once maxNoticedKinds kinds are stored, the rest of the notice is ignored from
// its first new fingerprint on.
func (r *Router) addCrashNotice(e CrashNoticed) {
	for f, n := range r.noticedCrashes {
		if e.Now >= n.expiry {
			delete(r.noticedCrashes, f)
		}
	}
	for _, f := range e.Fingerprints {
		n := r.noticedCrashes[f]
		if len(r.noticedCrashes) >= maxNoticedKinds && len(n.crashes) == 0 {
			return
		}
		if !slices.Contains(n.crashes, e.Owner) {
			n.crashes = append(slices.Clip(n.crashes), e.Owner)
		}
		n.expiry = e.Now.Add(crashNoticeTTL)
		r.noticedCrashes[f] = n
	}
}
