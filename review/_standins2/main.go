// Command standins plays the cases of the second review: it runs a small deployment of the
// project's own programs and the stand-ins of clients, servers and the operator.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken reports that a case saw its rule broken.
var errBroken = errors.New("the rule is broken")

// cases holds the cases by name. The flag tells whether the disruption is on.
var cases = map[string]func(rec *recorder, trouble bool) error{
	"framing":   playFraming,
	"refused":   playRefused,
	"extra":     playExtra,
	"foreign":   playForeign,
	"unlimited": playUnlimited,
}

func main() {
	// Processes that are started end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, closeRecord, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	err = cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	rec.note("verdict", "exit %d: %v", code, err)
	closeRecord()
	fmt.Println("exit", code, err)
	os.Exit(code)
}
