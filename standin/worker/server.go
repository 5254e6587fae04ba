package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rhubarbstall.example/standin/fault"
	wire "rhubarbstall.example/wire/worker"
)

// timerInterval is the interval between checks for due timer events.
const timerInterval = 5 * time.Millisecond

// Server serves a Worker over HTTP.
type Server struct {
	worker  *Worker
	handler http.Handler
	control *http.ServeMux
	cancel  context.CancelFunc
	stopped chan struct{}
}

// NewServer starts a worker and its timers. Close stops it.
func NewServer(o Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{worker: New(o), control: http.NewServeMux(), cancel: cancel, stopped: make(chan struct{})}
	injector := &fault.Injector{RefuseConnections: o.RefuseConnections, History: o.History}
	injector.RegisterHandlers(s.control)
	injector.Handle(s.control, "leave", func(f fault.Setting) error {
		s.worker.SetLeaving(f.On())
		return nil
	})
	injector.Handle(s.control, "fail", func(f fault.Setting) error {
		s.worker.SetFailing(f.On())
		return nil
	})
	api := http.NewServeMux()
	api.HandleFunc("POST "+wire.PathSync, s.sync)
	api.HandleFunc("POST "+wire.PathTasks, s.start)
	api.HandleFunc("POST "+wire.PathControl, s.controlTasks)
	main := http.NewServeMux()
	main.Handle("/control/", s.control)
	main.Handle("/", injector.Wrap(api))
	s.handler = main
	go s.advanceLoop(ctx)
	return s
}

// Worker returns the worker that the server serves.
func (s *Server) Worker() *Worker { return s.worker }

// ServeHTTP serves the protocol and, below /control/, the control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Control serves the control calls only.
func (s *Server) Control() http.Handler { return s.control }

// Close stops the worker and its timers.
func (s *Server) Close() {
	s.cancel()
	<-s.stopped
	s.worker.Stop()
}

func (s *Server) advanceLoop(ctx context.Context) {
	defer close(s.stopped)
	t := time.NewTicker(timerInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.worker.Advance()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) sync(w http.ResponseWriter, r *http.Request) {
	var req wire.SyncRequest
	if !decode(w, r, &req) {
		return
	}
	resp, refusal, err := s.worker.Sync(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, refusal, resp)
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	var req wire.StartRequest
	if !decode(w, r, &req) {
		return
	}
	resp, refusal := s.worker.Start(req)
	reply(w, refusal, resp)
}

func (s *Server) controlTasks(w http.ResponseWriter, r *http.Request) {
	var req wire.ControlRequest
	if !decode(w, r, &req) {
		return
	}
	reply(w, s.worker.Control(req), struct{}{})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, refusal *wire.Refusal, body any) {
	w.Header().Set("Content-Type", "application/json")
	if refusal != nil {
		w.WriteHeader(http.StatusConflict)
		body = refusal
	}
	_ = json.NewEncoder(w).Encode(body) // The client may have closed the connection.
}
