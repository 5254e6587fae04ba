package command

import (
	"context"
	"os"
	"os/signal"
)

// Main runs the client and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return Run(ctx, Env{
		Args:   os.Args[1:],
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
	})
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, env Env) int {
	a := &app{env: env}
	root := newRoot(a)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	return a.reportError(err)
}
