// Package process runs a simulated service as a process: it listens, prints its addresses and
// shuts down gracefully on SIGTERM or SIGINT.
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

// Ready is the JSON line that a simulated service prints on standard output once it listens.
type Ready struct {
	Addr    string `json:"addr"`
	Control string `json:"control"`
}

// Service holds the handlers and shutdown hooks of a simulated service.
type Service struct {
	// Handler serves the protocol and the control calls.
	Handler http.Handler
	// Control serves the control calls on a separate address, which stays reachable while
	// the main address refuses connections.
	Control http.Handler
	// Drain is called after SIGTERM or SIGINT, before connections are closed; may be nil.
	Drain func(ctx context.Context)
	// Close is called after the servers have stopped; may be nil.
	Close func()
}

// drainTimeout limits the duration of a graceful shutdown.
const drainTimeout = 30 * time.Second

// Run serves s on l and its control calls on controlAddr until SIGTERM or SIGINT, and then
// shuts down gracefully. A second signal ends the process at once. Run returns an error if it
// cannot listen or serve, or if the shutdown takes longer than drainTimeout.
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
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
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
