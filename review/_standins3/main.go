// Command rig plays one case of the review: it starts the real program as separate processes, plays
// clients, servers, operator and platform, and reports whether the rule of the case was broken.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// play is the state of one case that is being played.
type play struct {
	root, dir string
	trouble   bool // false plays the case without its disruption
	start     time.Time

	mu     sync.Mutex
	record *os.File
}

// logf adds a line to the record of the case.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, args...))
}

// cases return whether the rule was broken, or an error if the case could not run.
var cases = map[string]func(*play) (bool, error){}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	p := &play{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	broken, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		p.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		p.logf("verdict: broken")
		fmt.Println("broken")
		return exitBroken
	}
	p.logf("verdict: held")
	fmt.Println("held")
	return exitHeld
}
