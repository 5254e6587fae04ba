// Command lab plays a case of the second review: entry VMs of the project as processes, and stand-ins of the
// platform, its store, the runners and the clients in this one. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// lab is what a case is played on.
type lab struct {
	store   *store
	fleet   *fleet
	vms     []*vm
	clients *clients
	record  *record
	// trouble tells whether the disruption is played.
	trouble bool
	jobs    *jobTable
}

func lockThread() { runtime.LockOSThread() }

func main() {
	dir := flag.String("dir", ".", "folder of record.txt")
	program := flag.String("program", "target/rhubarbstalld", "the daemon")
	flag.Parse()
	play := map[string]func(*lab) (bool, error){"rack": playRack, "memory": playMemory, "takeover": playTakeover, "pending": playPending, "ends": playEnds}[flag.Arg(0)]
	if play == nil {
		fmt.Println("usage: lab [-dir DIR] [-program FILE] rack|memory|takeover|pending|ends")
		os.Exit(2)
	}
	os.Exit(playCase(*dir, *program, setups[flag.Arg(0)], play))
}

// setup is what a case starts.
type setup struct {
	vms     int
	runners int
	quiet   bool
	// targetMS is target_latency_ms of the queue.
	targetMS int
}

func playCase(dir, program string, set setup, play func(*lab) (bool, error)) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	tmp, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Println("logs in", tmp)
	}
	l := &lab{record: rec, trouble: os.Getenv("TROUBLE") != "0", jobs: newJobTable()}
	defer func() { stopVMs(l.vms) }()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		stopVMs(l.vms)
		os.Exit(2)
	}()
	if l.store, err = startStore(); err != nil {
		rec.sayf("cannot run: %v", err)
		return 2
	}
	l.fleet = newFleet(l.store, rec, l.jobs.step)
	l.fleet.quiet = set.quiet
	configure(l.store, set)
	for i := range set.runners {
		rack := i / runnersPerRack
		kind := "a"
		if rack == set.runners/runnersPerRack-1 {
			kind = "b"
		}
		if err := l.fleet.add(fmt.Sprintf("i-%016x", 0x5c0e7a21d94b36f8+i*7919), kind, fmt.Sprintf("r1-%d", rack+1)); err != nil {
			rec.sayf("cannot run: %v", err)
			return 2
		}
	}
	if l.vms, err = startVMs(set.vms, tmp, program, l.store.addr, rec); err != nil {
		rec.sayf("cannot run: %v", err)
		return 2
	}
	l.clients = newClients(l.vms, rec)
	rec.sayf("%d entry VMs are ready; disruption: %v", len(l.vms), l.trouble)
	broken, err := play(l)
	switch {
	case err != nil:
		rec.sayf("cannot run: %v", err)
		return 2
	case broken:
		rec.sayf("RESULT: the rule was broken")
		return 1
	}
	rec.sayf("RESULT: the rule held")
	return 0
}
