// Package logwriter writes log lines without ever blocking those who log. Lines
// wait in bounded queues and one goroutine writes them in batches. Where a queue
// is full its lines are dropped and counted: lines of successes first, as they
// have the smaller queue and give way to all others.
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
	routineLines   = 512  // that wait at most; lines of successes, the first to be dropped
	importantLines = 4096 // that wait at most; all others
	// routineRate bounds lines of successes a second: at two lines a request
	// this is the traffic of one entry on an ordinary day.
	routineRate = 400
	batchBytes  = 32 << 10 // of one write
	// gatherTime is for how long lines wait for others, so that one wake-up and
	// one write serve many.
	gatherTime = 100 * time.Millisecond
	dropPeriod = time.Second
)

// Writer has the two queues.
type Writer struct {
	out       io.Writer
	routine   queue
	important queue
	tokens    atomic.Int64 // lines of successes that may still be taken this second
	failed    atomic.Uint64
}

// queue takes lines and counts those it has no room for.
type queue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

func (q *queue) offer(line []byte) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
}

// New returns a writer to out and its clean-up function, which writes what
// waits and then stops.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{
		out:       out,
		routine:   queue{lines: make(chan []byte, routineLines)},
		important: queue{lines: make(chan []byte, importantLines)},
	}
	w.tokens.Store(routineRate)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(ctx)
	}()
	return w, func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(dropPeriod):
			// A reader that does not read must not hold up the end.
		}
	}
}

// Dropped returns how many lines were dropped: of successes, all others, and
// those that could not be written.
func (w *Writer) Dropped() (routine, important, failed uint64) {
	return w.routine.dropped.Load(), w.important.dropped.Load(), w.failed.Load()
}

// Important takes lines of failures and of what a process believes.
func (w *Writer) Important() io.Writer { return &sink{take: w.important.offer} }

// Routine takes lines of successes.
func (w *Writer) Routine() io.Writer {
	return &sink{take: func(line []byte) {
		if w.tokens.Add(-1) < 0 {
			w.routine.dropped.Add(1)
			return
		}
		w.routine.offer(line)
	}}
}

// sink is a writer that never fails. Loggers need it to be comparable.
type sink struct{ take func(line []byte) }

func (s *sink) Write(p []byte) (int, error) {
	s.take(p)
	return len(p), nil
}

func (w *Writer) run(ctx context.Context) {
	ticks := time.NewTicker(dropPeriod)
	defer ticks.Stop()
	told := [3]uint64{}
	for {
		select {
		case line := <-w.important.lines:
			w.gather(ctx)
			w.write(line)
		case line := <-w.routine.lines:
			w.gather(ctx)
			w.write(line)
		case <-ticks.C:
			w.tokens.Store(routineRate)
			told = w.tellDropped(told)
		case <-ctx.Done():
			w.write(nil)
			return
		}
	}
}

// gather waits for further lines, unless the queue of important ones fills up.
func (w *Writer) gather(ctx context.Context) {
	if len(w.important.lines) > importantLines/2 {
		return
	}
	t := time.NewTimer(gatherTime)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// write writes the line with others that wait, the important ones first.
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

// tellDropped writes a line where more lines were dropped since the last one.
func (w *Writer) tellDropped(told [3]uint64) [3]uint64 {
	routine, important, failed := w.Dropped()
	now := [3]uint64{routine, important, failed}
	if now != told {
		w.important.offer(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"warn\",\"msg\":\"log lines dropped\",\"successes\":%d,\"others\":%d,\"not_written\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), routine-told[0], important-told[1], failed-told[2]))
	}
	return now
}
