// Command rhubarbstall is the operators' client.
package main

import (
	"os"

	"rhubarbstall.example/cli/command"
)

func main() { os.Exit(command.Main()) }
