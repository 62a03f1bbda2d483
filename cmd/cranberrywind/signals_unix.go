//go:build unix

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContext returns a context that ends with the first interrupt or
// termination signal. A second signal ends the process at once.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitFailure)
	}()
	return ctx, cancel
}

// drainSignal delivers the signals that ask a stand-in target to leave.
func drainSignal() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	return signals, func() { signal.Stop(signals) }
}

// reloadSignal delivers the signals that ask for the settings to be read again.
func reloadSignal() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
