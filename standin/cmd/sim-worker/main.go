// Command sim-worker is a stand-in for a worker VM.
package main

import (
	"flag"
	"fmt"
	"os"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/process"
	"rhubarbstall.example/standin/worker"
)

func main() {
	var o worker.Options
	addr := flag.String("addr", "127.0.0.1:0", "address to listen on")
	control := flag.String("control", "127.0.0.1:0", "address of the control calls")
	path := flag.String("history", "", "file to which the event history is appended; none if empty")
	flag.StringVar(&o.ID, "id", "worker", "identity")
	flag.StringVar(&o.AvailabilityZone, "zone", "", "availability zone")
	flag.StringVar(&o.Rack, "rack", "", "rack")
	flag.Int64Var(&o.Capacity.MilliCPU, "milli-cpu", 32_000, "CPU capacity in thousandths of a core")
	flag.Int64Var(&o.Capacity.MemoryMB, "memory-mb", 128<<10, "memory capacity in MB")
	flag.Int64Var(&o.Capacity.Accelerators, "accelerators", 0, "number of accelerators")
	flag.DurationVar(&o.MaxOwnerLease, "max-owner-lease", 0, "maximum owner lease; the maximum of the protocol, 10s, if 0")
	flag.DurationVar(&o.UsageLag, "usage-lag", 0, "age of a task from which its usage is reported; 500ms if 0")
	flag.Parse()
	if err := run(*addr, *control, *path, o); err != nil {
		fmt.Fprintln(os.Stderr, "sim-worker:", err)
		os.Exit(1)
	}
}

func run(addr, control, path string, o worker.Options) error {
	o.Instance = process.NewInstance()
	h, err := history.Open(path, o.ID, o.Instance)
	if err != nil {
		return err
	}
	defer h.Close()
	l, err := process.Listen(addr)
	if err != nil {
		return err
	}
	o.History = h
	o.RefuseConnections = l.RefuseConnections
	s := worker.NewServer(o)
	return process.Run(l, control, process.Service{Handler: s, Control: s.Control(), Close: s.Close})
}
