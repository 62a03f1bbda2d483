//go:build unix

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContext returns a context that ends at the first interrupt or termination
// signal. A second signal ends the process at once.
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

// drainSignal returns a channel that receives SIGUSR1, the signal for a stand-in
// target to drain, and a function that stops the delivery.
func drainSignal() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	return signals, func() { signal.Stop(signals) }
}

// reloadSignal returns a channel that receives SIGHUP, the signal to reload the
// settings, and a function that stops the delivery.
func reloadSignal() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
