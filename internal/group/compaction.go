package group

import (
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

const (
	defaultCompactEntries = 4096
	// defaultCompactBytes is small beside the memory of an instance, and large enough that
	// small states are not written again for every few commands.
	defaultCompactBytes = 4 << 20
	// defaultCompactTime is small beside the time in which a restarted group must serve.
	defaultCompactTime = 500 * time.Millisecond
	// maxSnapshotShare limits the time that snapshots take, as a share of the time that it
	// takes to apply the entries that they replace.
	maxSnapshotShare = 0.25
)

// Compaction bounds the applied entries that a replica keeps beside its last snapshot. They
// stay in memory and on disk, and a restarted replica applies them again, so that each of their
// number, their size and the time that they take has a bound of its own.
type Compaction struct {
	Entries uint64        // 0 for 4096
	Bytes   int64         // 0 for 4 MiB; a log whose other content is larger may grow to twice that
	Time    time.Duration // 0 for 500 ms; longer while snapshots take long
}

func (c Compaction) withDefaults() Compaction {
	if c.Entries == 0 {
		c.Entries = defaultCompactEntries
	}
	if c.Bytes == 0 {
		c.Bytes = defaultCompactBytes
	}
	if c.Time == 0 {
		c.Time = defaultCompactTime
	}
	return c
}

// logCost is the sum of what applied entries cost since the replica was opened.
type logCost struct {
	bytes    int64
	applying time.Duration
}

// entryOverheadBytes is about what an entry takes on disk beside its command.
const entryOverheadBytes = 64

func (c logCost) withEntry(e replica.Entry, took time.Duration) logCost {
	return logCost{bytes: c.bytes + int64(len(e.Data)) + entryOverheadBytes, applying: c.applying + took}
}

func (c logCost) minus(x logCost) logCost {
	return logCost{bytes: c.bytes - x.bytes, applying: c.applying - x.applying}
}

// latestState is the state after the last applied entry, and what the entries up to it cost.
type latestState[S any] struct {
	Applied[S]
	cost logCost
}

// compactor decides when to take a snapshot. Only the replica's loop uses it.
type compactor struct {
	limits       Compaction
	snapshotCost logCost       // of the entries up to the last snapshot
	snapshotTime time.Duration // that the last snapshot took

	running      bool
	index        uint64 // of the snapshot that is being taken
	runningCost  logCost
	runningSince time.Time
}

// due reports whether the applied entries are worth a snapshot. storedBytes is the size of the
// log with its snapshot.
func (c *compactor) due(entries uint64, cost logCost, storedBytes int64) bool {
	if c.running || entries == 0 {
		return false
	}
	since := cost.minus(c.snapshotCost)
	// What a snapshot makes room for is then at least as much as what is written again.
	return entries >= c.limits.Entries ||
		since.bytes >= max(c.limits.Bytes, storedBytes/2) ||
		since.applying >= max(c.limits.Time, time.Duration(float64(c.snapshotTime)/maxSnapshotShare))
}

// begin records that a snapshot at the index is being taken.
func (c *compactor) begin(index uint64, cost logCost) {
	c.running, c.index, c.runningCost, c.runningSince = true, index, cost, time.Now()
}

// stored records that a snapshot at the index was stored: the one that was being taken, or one
// of the leader. It reports which. latest is the cost of all applied entries.
func (c *compactor) stored(index uint64, latest logCost) (own bool) {
	switch {
	case !c.running || index > c.index:
		c.snapshotCost = latest
	case index == c.index:
		c.snapshotCost, c.snapshotTime, own = c.runningCost, time.Since(c.runningSince), true
	default:
		return false
	}
	c.running = false
	return own
}

// compactIfLong takes a snapshot when the applied entries since the last one reach a bound of
// Config.Compaction. It encodes the state in a goroutine, so as not to block the loop.
func (g *Group[S]) compactIfLong() {
	latest := g.latest.Load()
	g.logBytes.Store(g.store.Bytes())
	entries := latest.Index - min(latest.Index, g.stored.Snapshot.Index)
	if !g.compactor.due(entries, latest.cost, g.store.Bytes()) {
		return
	}
	g.compactor.begin(latest.Index, latest.cost)
	go func() {
		_ = g.loop.Send(replica.Compacted{Index: latest.Index, Data: latest.State.Encode()})
	}()
}

// snapshotStored records that the stored snapshot has changed.
func (g *Group[S]) snapshotStored() {
	if own := g.compactor.stored(g.stored.Snapshot.Index, g.latest.Load().cost); own {
		g.snapshots.add(g.compactor.snapshotTime)
	}
}
