// Command sim-runner is a stand-in for a runner, the upstream that executes requests.
package main

import (
	"flag"
	"fmt"
	"os"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/process"
	"rhubarbstall.example/standin/runner"
	wire "rhubarbstall.example/wire/runner"
)

func main() {
	var o runner.Options
	addr := flag.String("addr", "127.0.0.1:0", "address to listen on")
	control := flag.String("control", "127.0.0.1:0", "address of the control calls")
	path := flag.String("history", "", "file to which the event history is appended; none if empty")
	service := flag.String("service", "", "service time of each kind, for example preview=20ms,render=300ms")
	flag.StringVar(&o.ID, "id", "runner", "identity")
	flag.IntVar(&o.Slots, "slots", wire.Slots, "maximum number of concurrent requests")
	flag.DurationVar(&o.DefaultServiceTime, "default-service", 0, "service time of other kinds; 20ms if 0")
	flag.Parse()
	var err error
	if o.ServiceTimes, err = runner.ParseServiceTimes(*service); err == nil {
		err = run(*addr, *control, *path, o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sim-runner:", err)
		os.Exit(1)
	}
}

func run(addr, control, path string, o runner.Options) error {
	h, err := history.Open(path, o.ID, process.NewInstance())
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
	s := runner.New(o)
	limited := process.LimitConnections(l, wire.MaxConnections, func() {
		h.Write(history.Event{Type: history.ConnectionsOverrun})
	})
	return process.Run(limited, control, process.Service{
		Handler: s, Control: s.Control(), Drain: s.Drain, Close: s.Close,
	})
}
