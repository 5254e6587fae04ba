// Package process runs a stand-in as a process: it listens, prints its
// addresses, and stops gracefully on SIGTERM.
package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Ready is the line that a stand-in prints on standard output once it listens.
type Ready struct {
	Addr    string `json:"addr"`
	Control string `json:"control"`
}

// Service is what a stand-in serves.
type Service struct {
	// Handler serves the protocol and the control calls.
	Handler http.Handler
	// Control serves the control calls on their own address, which stays
	// reachable while the main address refuses connections.
	Control http.Handler
	// Drain is called on SIGTERM before connections are closed.
	Drain func(ctx context.Context)
	// Close is called last.
	Close func()
}

// drainLimit bounds a graceful shutdown.
const drainLimit = 30 * time.Second

// Run serves on the listener and on controlAddr until SIGTERM or SIGINT. A second
// signal ends the process at once.
func Run(l net.Listener, controlAddr string, s Service) error {
	control, err := Listen(controlAddr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: 10 * time.Second}
	controlServer := &http.Server{Handler: s.Control, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(l) }()
	go func() { failed <- controlServer.Serve(control) }()
	line, err := json.Marshal(Ready{Addr: l.Addr().String(), Control: control.Addr().String()})
	if err != nil {
		return err
	}
	fmt.Println(string(line))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	stop()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if s.Drain != nil {
		s.Drain(drainCtx)
	}
	err = server.Shutdown(drainCtx)
	_ = controlServer.Close()
	if s.Close != nil {
		s.Close()
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
