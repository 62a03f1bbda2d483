package local

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

// ErrNoPort reports that FreeAddress found no free port.
var ErrNoPort = errors.New("no free loopback port found")

// The ports lie below the ephemeral range, so that no outgoing connection can take a
// port between the check that it is free and its use.
const (
	firstPort       = 10_000
	lastPort        = 30_000
	maxPortAttempts = 1_000
)

// addresses allocates loopback addresses. Each process uses a random IP address, so
// that processes running at the same time do not pick the same address and port.
var addresses = struct {
	mu   sync.Mutex
	ip   string
	next int
}{
	ip:   fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250)),
	next: firstPort,
}

// FreeAddress returns a loopback address, as IP:PORT, that nothing listens on.
func FreeAddress() (string, error) {
	addresses.mu.Lock()
	defer addresses.mu.Unlock()
	for range maxPortAttempts {
		addresses.next++
		if addresses.next > lastPort {
			addresses.next = firstPort
		}
		address := fmt.Sprintf("%s:%d", addresses.ip, addresses.next)
		if isFree(address) {
			return address, nil
		}
	}
	return "", ErrNoPort
}

// awaitFirstFork waits until package os has tested whether the kernel supports pidfds. It does
// so once, when a process is first started or found, by a fork that does not hold
// syscall.ForkLock.
var awaitFirstFork = sync.OnceFunc(func() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
})

// isFree reports whether nothing listens on an address. It keeps out forks meanwhile: a
// process that is being started has the check's socket until it runs its own program.
func isFree(address string) bool {
	awaitFirstFork()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	return err == nil && l.Close() == nil
}
