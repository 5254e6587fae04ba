package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are allocated below the ephemeral port range, so that no outgoing connection
// occupies a port before the process that it was allocated for listens on it.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

var (
	portsMu        sync.Mutex
	allocatedPorts = make(map[int]bool)
)

// freeAddr returns a loopback address with a port on which no process listens and
// which this process has not returned before.
func freeAddr() (string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if allocatedPorts[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		allocatedPorts[port] = true
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
