// Package command holds the subcommands of the operators' client.
package command

import (
	"io"
	"time"
)

// Env is what the client takes from its process.
type Env struct {
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv reads an environment variable.
	Getenv func(string) string
}

// Names of environment variables.
const (
	envServer = "RHUBARBSTALL_SERVER"
	envUser   = "USER"
)

// defaultServer is used without --server and RHUBARBSTALL_SERVER.
const defaultServer = "http://127.0.0.1:8080"

// app carries the global flags to the subcommands.
type app struct {
	env     Env
	servers []string
	output  string
	timeout time.Duration
}
