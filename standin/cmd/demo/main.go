// Command demo runs a small deployment on this machine, sends load, injects faults,
// and checks from the histories that the promises of docs/design.md were kept.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"rhubarbstall.example/standin/cluster"
)

const (
	// runTimeout limits the whole run.
	runTimeout = 50 * time.Second
	// stopTimeout limits the graceful shutdown of one process.
	stopTimeout = 4 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	dir := flag.String("dir", "", "directory for logs and histories; a temporary directory if empty")
	load := flag.Duration("load", 15*time.Second, "time for which requests are sent")
	flag.Parse()
	ok, err := run(*bin, *dir, *load)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run runs the demo and checks the histories. It returns false if a promise was
// violated or a request or job failed.
func run(bin, dir string, load time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	temporary := dir == ""
	if temporary {
		var err error
		if dir, err = os.MkdirTemp("", "rhubarbstall-demo-"); err != nil {
			return false, err
		}
	}
	fmt.Println("logs and histories:", dir)
	c, err := cluster.New(bin, dir)
	if err != nil {
		return false, err
	}
	results, err := startAndLoad(ctx, c, load)
	c.Stop(stopTimeout)
	if err != nil {
		return false, err
	}
	report, err := c.CheckHistory()
	if err != nil {
		return false, err
	}
	passed := results.print(os.Stdout, report)
	if passed && temporary {
		return true, os.RemoveAll(dir)
	}
	return passed, nil
}

// startAndLoad starts the deployment, sends the load and injects the faults.
func startAndLoad(ctx context.Context, c *cluster.Cluster, load time.Duration) (*results, error) {
	start := time.Now()
	if err := startAll(ctx, c); err != nil {
		return nil, err
	}
	fmt.Printf("deployment is ready after %.1f s\n", time.Since(start).Seconds())
	ca, err := c.Caller()
	if err != nil {
		return nil, err
	}
	d := &driver{cluster: c, caller: ca, results: newResults(), load: load}
	return d.results, d.run(ctx)
}
