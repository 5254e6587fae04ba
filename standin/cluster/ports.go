package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are taken below the range from which systems choose the ports of
// outgoing connections, so that none of those takes a port before its process listens.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

var (
	portsMu sync.Mutex
	taken   = make(map[int]bool)
)

// freeAddr returns a loopback address that nothing listens on and that was not
// returned before.
func freeAddr() (string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		taken[port] = true
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
