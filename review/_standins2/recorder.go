package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, func(), error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	return &recorder{file: f, start: time.Now()}, func() { _ = f.Close() }, nil
}

// note writes one line: the time since the start, who did it, and what.
func (r *recorder) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}
