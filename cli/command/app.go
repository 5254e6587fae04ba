// Package command implements the subcommands of the operator CLI.
package command

import (
	"io"
	"time"
)

// Env holds the arguments, streams and environment of the process.
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

// defaultServer applies if neither --server nor RHUBARBSTALL_SERVER is set.
const defaultServer = "http://127.0.0.1:8080"

// app holds the process environment and the global flags for the subcommands.
type app struct {
	env     Env
	servers []string
	output  string
	timeout time.Duration
}
