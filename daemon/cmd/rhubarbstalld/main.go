// Command rhubarbstalld is the daemon of an entry VM.
package main

import (
	"fmt"
	"os"

	"rhubarbstall.example/api/codes"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		code := codes.Of(err)
		fmt.Fprintf(os.Stderr, "rhubarbstalld: %d %s: %v\n", code, code.Info().Name, err)
		os.Exit(1)
	}
}
