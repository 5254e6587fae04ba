// Command standin3 plays the cases of the third review: stand-ins of the platform's store, runners and clients in this
// process, and entry VMs as processes of the daemon.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// cases holds the script of each case: it returns an error if the case could not run.
var cases = map[string]func(w *world, trouble bool) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return couldntRun
	}
	script := cases[os.Args[1]]
	if script == nil {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return couldntRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer os.RemoveAll(dir)
	daemon, err := filepath.Abs("target/rhubarbstalld")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	w, err := newWorld(rec, dir, daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer w.close()
	if err := script(w, os.Getenv("TROUBLE") != "0"); err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	for _, text := range rec.broken {
		fmt.Println("broken:", text)
	}
	if len(rec.broken) > 0 {
		return broken
	}
	rec.logf("no rule broken")
	fmt.Println("held")
	return held
}
