package slope

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"rhubarbstall.example/standin/cluster"
	"rhubarbstall.example/standin/worker"
	"rhubarbstall.example/wire/platform"
	wire "rhubarbstall.example/wire/worker"
)

// WorkersPerRack is the number of workers in a rack.
const WorkersPerRack = 8

// Workers holds worker stand-ins that run inside this process instead of one process each,
// so that a zone of the size that the design targets fits on one machine.
type Workers struct {
	servers []*worker.Server
	http    []*http.Server
}

// StartWorkers starts n workers of 32 cores and 64 GB each and adds them to the VM
// list of the platform.
func StartWorkers(c *cluster.Cluster, zone string, n int) (*Workers, error) {
	w := &Workers{}
	for i := range n {
		id := fmt.Sprintf("%s-worker-%03d", zone, i)
		rack := fmt.Sprintf("%s-rack-%02d", zone, i/WorkersPerRack)
		addr, err := w.add(worker.Options{
			// The owner lease of the settings is 3 s. A longer maximum would delay the first
			// lease, which a worker grants only after this time.
			ID: id, AvailabilityZone: zone, Rack: rack, MaxOwnerLease: 3 * time.Second,
			Capacity: wire.Size{MilliCPU: 32_000, MemoryMB: 64 << 10},
		})
		if err != nil {
			w.Close()
			return nil, err
		}
		vm := platform.VM{
			ID: id, Role: platform.RoleWorker, AvailabilityZone: zone, Rack: rack,
			Addr: addr, State: platform.VMLive,
		}
		if err := c.SetVM(vm); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// add starts one worker and returns its address.
func (w *Workers) add(o worker.Options) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := worker.NewServer(o)
	h := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = h.Serve(l) }()
	w.servers = append(w.servers, s)
	w.http = append(w.http, h)
	return l.Addr().String(), nil
}

// Close stops all workers.
func (w *Workers) Close() {
	for i := range w.servers {
		_ = w.http[i].Close()
		w.servers[i].Close()
	}
}
