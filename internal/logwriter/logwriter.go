// Package logwriter writes log lines without ever blocking the goroutines that log.
// Lines wait in two bounded queues, and one goroutine writes them in batches. Lines
// that don't fit into their queue are dropped and counted. Lines about successful
// requests (routine lines) are dropped first: their queue is smaller, and they are
// written only after all other lines.
package logwriter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	routineQueueLines   = 512
	importantQueueLines = 4096
	// routineLinesPerSecond limits the rate of routine lines. At two lines per request
	// it covers the usual traffic of one entry.
	routineLinesPerSecond = 400
	batchBytes            = 32 << 10 // size at which a batch is written
	// batchDelay is how long a line waits for others, so that many lines need only
	// one wake-up and one write.
	batchDelay = 100 * time.Millisecond
	// reportPeriod is the time between two refills of the rate limit, and between
	// two reports of dropped lines. The clean-up function waits at most this long.
	reportPeriod = time.Second
)

// Writer queues log lines and writes them in the background.
type Writer struct {
	out       io.Writer
	routine   queue
	important queue
	tokens    atomic.Int64  // routine lines still allowed in this second
	failed    atomic.Uint64 // lines whose write failed
}

// queue is a bounded queue of lines that counts the lines it drops.
type queue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// offer adds a copy of the line to the queue, or drops it if the queue is full.
func (q *queue) offer(line []byte) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
}

// New returns a writer to out and its clean-up function, which stops the writer
// after a last batch of queued lines.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{
		out:       out,
		routine:   queue{lines: make(chan []byte, routineQueueLines)},
		important: queue{lines: make(chan []byte, importantQueueLines)},
	}
	w.tokens.Store(routineLinesPerSecond)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		w.run(ctx)
	}()
	return w, func() {
		cancel()
		select {
		case <-stopped:
		case <-time.After(reportPeriod):
			// Output that nobody reads must not delay the shutdown.
		}
	}
}

// Dropped returns the numbers of routine and of important lines that were dropped,
// and the number of lines whose write failed.
func (w *Writer) Dropped() (routine, important, failed uint64) {
	return w.routine.dropped.Load(), w.important.dropped.Load(), w.failed.Load()
}

// Important returns the writer for lines about failures and about the state of the
// system.
func (w *Writer) Important() io.Writer { return &sink{write: w.important.offer} }

// Routine returns the writer for lines about successful requests, which are limited
// to routineLinesPerSecond.
func (w *Writer) Routine() io.Writer {
	return &sink{write: func(line []byte) {
		if w.tokens.Add(-1) < 0 {
			w.routine.dropped.Add(1)
			return
		}
		w.routine.offer(line)
	}}
}

// sink is an io.Writer that never fails. It is used as a pointer, because loggers
// need their writer to be comparable.
type sink struct{ write func(line []byte) }

func (s *sink) Write(p []byte) (int, error) {
	s.write(p)
	return len(p), nil
}

// run writes queued lines until ctx ends. It also refills the rate limit of routine
// lines and reports dropped lines.
func (w *Writer) run(ctx context.Context) {
	ticks := time.NewTicker(reportPeriod)
	defer ticks.Stop()
	reported := [3]uint64{}
	for {
		select {
		case line := <-w.important.lines:
			w.waitForMore(ctx)
			w.write(line)
		case line := <-w.routine.lines:
			w.waitForMore(ctx)
			w.write(line)
		case <-ticks.C:
			w.tokens.Store(routineLinesPerSecond)
			reported = w.reportDropped(reported)
		case <-ctx.Done():
			for len(w.important.lines)+len(w.routine.lines) > 0 {
				w.write(nil)
			}
			return
		}
	}
}

// waitForMore waits for batchDelay, so that more lines can join the batch. It doesn't
// wait if the queue of important lines is more than half full.
func (w *Writer) waitForMore(ctx context.Context) {
	if len(w.important.lines) > importantQueueLines/2 {
		return
	}
	t := time.NewTimer(batchDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// write writes the line and queued lines in one batch, important ones first.
func (w *Writer) write(line []byte) {
	batch := append(make([]byte, 0, batchBytes), line...)
	for len(batch) < batchBytes {
		next, ok := w.next()
		if !ok {
			break
		}
		batch = append(batch, next...)
	}
	if _, err := w.out.Write(batch); err != nil {
		w.failed.Add(uint64(bytes.Count(batch, []byte{'\n'})))
	}
}

// next removes and returns a queued line, an important one if there is any.
func (w *Writer) next() ([]byte, bool) {
	select {
	case line := <-w.important.lines:
		return line, true
	default:
	}
	select {
	case line := <-w.routine.lines:
		return line, true
	default:
		return nil, false
	}
}

// reportDropped queues a warning if lines were dropped since the counts that were
// last reported. It returns the current counts.
func (w *Writer) reportDropped(reported [3]uint64) [3]uint64 {
	routine, important, failed := w.Dropped()
	now := [3]uint64{routine, important, failed}
	if now != reported {
		w.important.offer(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"warn\",\"msg\":\"log lines dropped\",\"successes\":%d,\"others\":%d,\"not_written\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), routine-reported[0], important-reported[1], failed-reported[2]))
	}
	return now
}
