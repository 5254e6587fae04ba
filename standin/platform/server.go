package platform

import (
	"context"
	"net/http"
	"time"

	"rhubarbstall.example/standin/fault"
	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/platform"
)

// expiryInterval is the interval between checks for expired leases.
const expiryInterval = 10 * time.Millisecond

// Server is the simulated platform. It serves the protocol and the control calls.
type Server struct {
	store    *store
	vms      *vmList
	limiter  *limiter
	injector *fault.Injector
	handler  http.Handler
	control  *http.ServeMux
	history  *history.Writer
	stop     chan struct{}
	stopped  chan struct{}
}

// New returns a server and starts the goroutine that expires its leases. Close stops it.
func New(o Options) *Server {
	o.setDefaults()
	s := &Server{
		store:    newStore(o.KeepEvents, o.History),
		vms:      &vmList{lag: o.VMLag, history: o.History, visible: make(map[string]wire.VM)},
		limiter:  newLimiter(o.WritesPerSecond, o.ReadsPerSecond),
		injector: &fault.Injector{RefuseConnections: o.RefuseConnections, History: o.History},
		control:  http.NewServeMux(),
		history:  o.History,
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	s.registerControl()
	api := http.NewServeMux()
	s.registerAPI(api)
	main := http.NewServeMux()
	main.Handle("/control/", s.control)
	main.Handle("/", s.injector.Wrap(api))
	s.handler = main
	o.History.Write(history.Event{Type: history.ProcessStarted, Role: "platform"})
	go s.expireLoop()
	return s
}

// ServeHTTP serves the protocol and, below /control/, the control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Control serves the control calls only.
func (s *Server) Control() http.Handler { return s.control }

// Counts returns the number of calls, and of refused calls, since the start.
func (s *Server) Counts() Counts { return s.limiter.snapshot() }

// SetVM adds or replaces a VM in the VM list.
func (s *Server) SetVM(vm wire.VM) { s.vms.set(vm) }

// RemoveVM removes a VM from the VM list.
func (s *Server) RemoveVM(id string) { s.vms.remove(id) }

// EndWatches makes waiting watches return so that a shutdown does not wait for them. It must
// be called at most once.
func (s *Server) EndWatches(context.Context) { close(s.store.closing) }

// Close stops the expiry of leases and records the end of the process in the history.
func (s *Server) Close() {
	close(s.stop)
	<-s.stopped
	s.history.Write(history.Event{Type: history.ProcessStopped, Role: "platform"})
}

func (s *Server) expireLoop() {
	defer close(s.stopped)
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			s.store.expire(now)
		case <-s.stop:
			return
		}
	}
}
