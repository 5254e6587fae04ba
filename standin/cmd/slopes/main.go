// Command slopes measures the cost of control of real daemons on this machine
// and prints one figure a line; docs/CAPACITY.md is worked out from them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"time"

	"rhubarbstall.example/standin/slope"
)

// cases differ from the first by one thing each.
var cases = []slope.Case{
	{Name: "idle-2-entries", Entries: 2, Workers: 12},
	{Name: "idle-4-entries", Entries: 4, Workers: 12},
	{Name: "workers-100", Entries: 2, Workers: 100},
	{Name: "workers-400", Entries: 2, Workers: 400},
	{Name: "workers-824", Entries: 2, Workers: 824},
	{Name: "tasks-14700", Entries: 2, Workers: 824, Tasks: 14700},
	{Name: "starts-324", Entries: 2, Workers: 824, StartsPerSecond: 324},
	{Name: "requests-1000", Entries: 2, Workers: 12, Runners: 8, RequestsPerSecond: 1000},
}

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	measure := flag.Duration("measure", 15*time.Second, "measured time of each case")
	only := flag.String("case", "", "run this case only")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for _, cs := range cases {
		if *only != "" && cs.Name != *only {
			continue
		}
		res, err := slope.Run(ctx, *bin, cs, *measure)
		if err != nil {
			fmt.Fprintf(os.Stderr, "slopes: %s: %v\n", cs.Name, err)
			os.Exit(1)
		}
		report(res)
	}
}

func report(r slope.Result) {
	role := func(name string, s slope.Sample) {
		prefix := r.Case.Name + " " + name
		fmt.Printf("%s cpu %.2f %% of a core\n", prefix, 100*s.CPUSeconds/r.Seconds)
		fmt.Printf("%s resident %.1f MB\n", prefix, s.ResidentBytes/1e6)
		for _, link := range []string{"peer", "platform", "worker", "upstream"} {
			fmt.Printf("%s %s %.0f B/s\n", prefix, link, s.LinkBytes[link]/r.Seconds)
		}
	}
	role("scheduler", r.Scheduler)
	role("other", r.Other)
	calls := make([]string, 0, len(r.PlatformCalls))
	for call := range r.PlatformCalls {
		calls = append(calls, call)
	}
	slices.Sort(calls)
	for _, call := range calls {
		fmt.Printf("%s platform calls %s %.2f /s\n", r.Case.Name, call, r.PlatformCalls[call])
	}
	if r.Requests > 0 {
		total := r.Scheduler.CPUSeconds + r.Other.CPUSeconds
		fmt.Printf("%s cpu %.0f us a request\n", r.Case.Name, 1e6*total/float64(r.Requests))
	}
}
