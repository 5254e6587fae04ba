// Command sim-platform is a stand-in for the platform's key-value service and VM list.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/platform"
	"rhubarbstall.example/standin/process"
)

func main() {
	addr := flag.String("addr", "127.0.0.1:0", "address to listen on")
	control := flag.String("control", "127.0.0.1:0", "address of the control calls")
	path := flag.String("history", "", "file to which the event history is appended; none if empty")
	writes := flag.Int("writes", 300, "maximum number of writes per second")
	reads := flag.Int("reads", 2000, "maximum number of reads per second")
	lag := flag.Duration("vm-lag", time.Second, "delay until a change of the VM list is visible")
	keep := flag.Int("keep-events", 10_000, "number of latest changes that are kept for watches")
	flag.Parse()
	if err := run(*addr, *control, *path, platform.Options{
		WritesPerSecond: *writes, ReadsPerSecond: *reads, VMLag: *lag, KeepEvents: *keep,
	}); err != nil {
		fmt.Fprintln(os.Stderr, "sim-platform:", err)
		os.Exit(1)
	}
}

func run(addr, control, path string, o platform.Options) error {
	h, err := history.Open(path, "platform", process.NewInstance())
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
	s := platform.New(o)
	return process.Run(l, control, process.Service{Handler: s, Control: s.Control(), Drain: s.EndWatches, Close: s.Close})
}
