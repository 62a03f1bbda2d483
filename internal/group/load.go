package group

import (
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Durations sums up how long repeated work took since the replica was opened.
type Durations struct {
	Count   uint64        `json:"count"`
	Total   time.Duration `json:"total_nanoseconds"`
	Longest time.Duration `json:"longest_nanoseconds"`
}

// Load tells what a replica's loop and its applier are busy with.
type Load struct {
	Queued    int       `json:"queued"`    // events that wait for the loop
	Unapplied int       `json:"unapplied"` // batches of committed commands that wait for the applier
	Syncs     Durations `json:"syncs"`     // writes to the disk with their sync
	Applies   Durations `json:"applies"`   // batches of committed commands
	Snapshots Durations `json:"snapshots"` // from their begin until they are stored
	LogBytes  int64     `json:"log_bytes"` // size of the log file with its snapshot
}

// Load returns what the replica's loop and its applier are busy with.
func (g *Group[S]) Load() Load {
	return Load{
		Queued: g.loop.Queued(), Unapplied: g.applier.queued(), Syncs: g.syncs.read(), Applies: g.applies.read(),
		Snapshots: g.snapshots.read(), LogBytes: g.logBytes.Load(),
	}
}

// durations collects Durations. Its methods are safe for concurrent use.
type durations struct {
	mu  sync.Mutex
	sum Durations
}

// start starts a measurement. The returned function ends it.
func (d *durations) start() func() {
	from := timer.BootTime()
	return func() { d.add(timer.BootTime() - from) }
}

func (d *durations) add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sum.Count++
	d.sum.Total += took
	d.sum.Longest = max(d.sum.Longest, took)
}

func (d *durations) read() Durations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sum
}
