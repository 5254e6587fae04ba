// Command sim-relay is a TCP proxy whose links can be cut by HTTP control calls.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/process"
	"rhubarbstall.example/standin/relay"
)

func main() {
	control := flag.String("control", "127.0.0.1:0", "address of the control calls")
	path := flag.String("history", "", "file to which the event history is appended; none if empty")
	var specs []string
	flag.Func("link", "link to relay, as NAME=LISTEN>TARGET; may be repeated", func(s string) error {
		specs = append(specs, s)
		return nil
	})
	flag.Parse()
	if err := run(*control, *path, specs); err != nil {
		fmt.Fprintln(os.Stderr, "sim-relay:", err)
		os.Exit(1)
	}
}

func run(control, path string, specs []string) error {
	h, err := history.Open(path, "relay", process.NewInstance())
	if err != nil {
		return err
	}
	defer h.Close()
	h.Write(history.Event{Type: history.ProcessStarted, Role: "relay"})
	links := make(map[string]*relay.Link)
	for _, spec := range specs {
		name, ends, ok1 := strings.Cut(spec, "=")
		listen, target, ok2 := strings.Cut(ends, ">")
		if !ok1 || !ok2 {
			return fmt.Errorf("invalid link %q: want NAME=LISTEN>TARGET", spec)
		}
		if links[name], err = relay.Open(listen, target); err != nil {
			return err
		}
	}
	l, err := process.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	s := relay.NewServer(links, h)
	return process.Run(l, control, process.Service{Handler: s, Control: s, Close: func() {
		for _, link := range links {
			link.Close()
		}
	}})
}
