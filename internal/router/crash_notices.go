package router

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// crashNotice lists the crashes during which a kind of request was in flight, from
// the notices that entries send each other. It expires after crashNoticeTTL; by then a
// view has brought control's decision.
type crashNotice struct {
	crashes []keyspace.Owner
	expiry  timer.Instant
}

const (
	crashNoticeTTL  = 2 * time.Second
	blockingCrashes = 2 // crashes after which a kind of request is blocked
	maxCrashNotices = 1024
)

// blocks reports whether requests of this kind are rejected at now.
func (n crashNotice) blocks(now timer.Instant) bool {
	return len(n.crashes) >= blockingCrashes && now < n.expiry
}

// addCrashNotice records a crash for each fingerprint in flight, and removes expired
// notices. It stops at a new fingerprint once maxCrashNotices are stored.
func (r *Router) addCrashNotice(e CrashNoticed) {
	for f, n := range r.crashNotices {
		if e.Now >= n.expiry {
			delete(r.crashNotices, f)
		}
	}
	for _, f := range e.Fingerprints {
		n := r.crashNotices[f]
		if len(r.crashNotices) >= maxCrashNotices && len(n.crashes) == 0 {
			return
		}
		if !slices.Contains(n.crashes, e.Owner) {
			n.crashes = append(slices.Clip(n.crashes), e.Owner)
		}
		n.expiry = e.Now.Add(crashNoticeTTL)
		r.crashNotices[f] = n
	}
}
