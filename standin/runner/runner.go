package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"rhubarbstall.example/standin/fault"
	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/runner"
)

// Runner is the simulated runner. It serves the protocol and the control calls. It is safe
// for concurrent use.
type Runner struct {
	o       Options
	handler http.Handler
	control *http.ServeMux
	// stopHanging is closed to end the requests that hang.
	stopHanging chan struct{}

	mu sync.Mutex
	// busy is the number of occupied slots.
	busy    int
	leaving bool
	// failing makes every request fail with status 500.
	failing bool
}

// New returns a runner.
func New(o Options) *Runner {
	o.setDefaults()
	s := &Runner{o: o, control: http.NewServeMux(), stopHanging: make(chan struct{})}
	injector := &fault.Injector{RefuseConnections: o.RefuseConnections, History: o.History}
	injector.RegisterHandlers(s.control)
	injector.Handle(s.control, "leave", func(f fault.Setting) error {
		s.SetLeaving(f.On())
		return nil
	})
	injector.Handle(s.control, "fail", func(f fault.Setting) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failing = f.On()
		return nil
	})
	api := http.NewServeMux()
	api.HandleFunc("POST "+wire.PathRun, s.run)
	main := http.NewServeMux()
	main.Handle("/control/", s.control)
	main.Handle("/", injector.Wrap(api))
	s.handler = main
	o.History.Write(history.Event{Type: history.ProcessStarted, Role: "runner"})
	return s
}

// ServeHTTP serves the protocol and, below /control/, the control calls.
func (s *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Control serves the control calls only.
func (s *Runner) Control() http.Handler { return s.control }

// SetLeaving makes the runner refuse or accept new requests. It records a change in the
// history.
func (s *Runner) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on != s.leaving {
		state := history.LeavingOff
		if on {
			state = history.LeavingOn
		}
		s.o.History.Write(history.Event{Type: history.Leaving, State: state})
	}
	s.leaving = on
}

// drainPollInterval is the interval between checks of Drain for requests in progress.
const drainPollInterval = 10 * time.Millisecond

// Drain refuses new requests and waits until the requests in progress have ended or ctx is
// done. It aborts hanging requests at once. It must be called at most once.
func (s *Runner) Drain(ctx context.Context) {
	s.SetLeaving(true)
	close(s.stopHanging)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for s.inProgress() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close records the end of the process in the history.
func (s *Runner) Close() {
	s.o.History.Write(history.Event{Type: history.ProcessStopped, Role: "runner"})
}

func (s *Runner) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// acquireSlot occupies a slot and returns whether the run must fail. If it occupies none, it
// returns the reason of the refusal.
func (s *Runner) acquireSlot() (refusal string, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return history.ReasonLeaving, false
	case s.busy >= s.o.Slots:
		return history.ReasonFull, false
	}
	s.busy++
	return "", s.failing
}

func (s *Runner) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// stateHeader returns the value of the state header; empty if the header is left out.
func (s *Runner) stateHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return wire.StateLeaving
	}
	return ""
}
