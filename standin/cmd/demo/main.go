// Command demo runs a whole small deployment on this machine and checks its promises.
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
	// limit bounds the whole run.
	limit = 50 * time.Second
	// stopLimit bounds the graceful end of one process.
	stopLimit = 4 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	dir := flag.String("dir", "", "directory for logs and histories; a temporary one if empty")
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

// run returns whether every promise was kept.
func run(bin, dir string, load time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
	results, err := drive(ctx, c, load)
	c.Stop(stopLimit)
	if err != nil {
		return false, err
	}
	report, err := c.CheckHistory()
	if err != nil {
		return false, err
	}
	kept := results.print(os.Stdout, report)
	if kept && temporary {
		return true, os.RemoveAll(dir)
	}
	return kept, nil
}

// drive starts the deployment and sends the load.
func drive(ctx context.Context, c *cluster.Cluster, load time.Duration) (*results, error) {
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
