// Command rhubarbstall is the operator CLI.
package main

import (
	"os"

	"rhubarbstall.example/cli/command"
)

func main() { os.Exit(command.Main()) }
