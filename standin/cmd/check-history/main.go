// Command check-history checks the history files of a run. It prints each
// violation. The exit status is 1 if there is a violation, and 2 if the arguments are
// wrong or a history is missing or cannot be read.
package main

import (
	"fmt"
	"os"

	"rhubarbstall.example/standin/check"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: check-history DIR")
		os.Exit(2)
	}
	report, err := check.Dir(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "check-history:", err)
		os.Exit(2)
	}
	fmt.Print(report)
	if !report.OK() {
		os.Exit(1)
	}
}
