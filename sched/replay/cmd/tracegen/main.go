// Command tracegen writes the generated traces to a directory.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"rhubarbstall.example/sched/replay"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: tracegen DIRECTORY")
		os.Exit(2)
	}
	for _, name := range replay.DeploymentNames() {
		if err := write(filepath.Join(os.Args[1], name+".jsonl"), replay.Generate(name)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func write(path string, t *replay.Trace) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := replay.Encode(f, t); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
