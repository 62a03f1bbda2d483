package local

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// ErrNoPort reports that no free port was found.
var ErrNoPort = errors.New("no free loopback port found")

// Ports below the range that the system gives to outgoing connections, so that
// none of those can take a port between its choice and its use.
const (
	firstPort = 10_000
	lastPort  = 30_000
	portTries = 1_000
)

// addresses hands out loopback addresses. Each process has an IP address of its
// own, so that processes can't be given the same port.
var addresses = struct {
	mu   sync.Mutex
	ip   string
	next int
}{
	ip:   fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250)),
	next: firstPort,
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	addresses.mu.Lock()
	defer addresses.mu.Unlock()
	for range portTries {
		addresses.next++
		if addresses.next > lastPort {
			addresses.next = firstPort
		}
		address := fmt.Sprintf("%s:%d", addresses.ip, addresses.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", ErrNoPort
}
