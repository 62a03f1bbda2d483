// Command standins runs one case of the review: a small deployment of the project's own
// program on loopback addresses, with stand-ins for clients, workers, the operator and the
// network.
//
//	standins CASE ROOT FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// testCase runs a case and returns how the rule was broken, or an empty string if it held.
type testCase func(d *deployment, trouble bool) (string, error)

var cases = map[string]testCase{
	"silent-connections": silentConnections,
	"pipelined-shutdown": pipelinedShutdown,
	"seed-lost":          seedLost,
	"replaced-in-turn":   replacedInTurn,
	"crashing-download":  crashingDownload,
	"many-changes":       manyChanges,
	"withdrawn":          withdrawnInRestart,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT FOLDER")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	file, err := os.Create(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	r.printf("case %s, trouble: %t", args[0], trouble)
	d, err := newDeployment(args[1], r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(2)
	}()
	broken, err := cases[args[0]](d, trouble)
	switch {
	case errors.Is(err, errCannotRun), err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken != "":
		r.printf("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		return 1
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
