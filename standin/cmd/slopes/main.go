// Command slopes measures the resources that real daemons use on this machine for
// scheduling and routing. It prints one figure per line; docs/CAPACITY.md is
// calculated from these figures.
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

// cases are the measured deployments. The larger ones add entry VMs, workers, tasks,
// task starts or requests to the first, so that the difference of two results gives
// the cost of one of these.
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
	measure := flag.Duration("measure", 15*time.Second, "duration of the measurement of each case")
	only := flag.String("case", "", "name of the only case to run; all cases if empty")
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

// report prints the figures of a case.
func report(r slope.Result) {
	printRole := func(name string, s slope.Sample) {
		prefix := r.Case.Name + " " + name
		fmt.Printf("%s cpu %.2f %% of a core\n", prefix, 100*s.CPUSeconds/r.Seconds)
		fmt.Printf("%s resident %.1f MB\n", prefix, s.ResidentBytes/1e6)
		for _, link := range []string{"peer", "platform", "worker", "upstream"} {
			fmt.Printf("%s %s %.0f B/s\n", prefix, link, s.LinkBytes[link]/r.Seconds)
		}
	}
	printRole("scheduler", r.Scheduler)
	printRole("other", r.Other)
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
