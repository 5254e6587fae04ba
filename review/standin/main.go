// Command standin plays a case of the review: it starts the entry VMs of a small deployment as
// processes, with stand-ins for the store, the advisor, the runners, the operator and the clients.
// It runs in the root of the repository: standin CASE RECORD with|without.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run. The last word tells whether the disruption is played or left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

var errUsage = errors.New("usage: standin CASE RECORD with|without")

func main() {
	broken, err := play()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func play() (bool, error) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || (os.Args[3] != "with" && os.Args[3] != "without") {
		return false, errUsage
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	w, err := newWorld(rec, dir)
	if err != nil {
		return false, err
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(2)
	}()
	trouble := os.Args[3] == "with"
	rec.logf("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](w, trouble)
	rec.logf("rule broken: %v, error: %v", broken, err)
	return broken, err
}
