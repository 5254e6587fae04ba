package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbstall.example/standin/fault"
	wire "rhubarbstall.example/wire/platform"
)

// registerControl registers the control calls: those of [fault.Injector], stale-reads,
// compact, POST /control/vms (a [wire.VM]), DELETE /control/vms/{id} and GET
// /control/counts.
func (s *Server) registerControl() {
	s.injector.RegisterHandlers(s.control)
	s.injector.Handle(s.control, "stale-reads", func(f fault.Setting) error {
		s.store.setStaleReads(time.Duration(f.Millis) * time.Millisecond)
		return nil
	})
	s.injector.Handle(s.control, "compact", func(fault.Setting) error {
		s.store.compact()
		return nil
	})
	s.control.HandleFunc("POST /control/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm wire.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil || vm.ID == "" {
			http.Error(w, "body must be a VM with an id", http.StatusBadRequest)
			return
		}
		if vm.State == "" {
			vm.State = wire.VMLive
		}
		s.vms.set(vm)
		w.WriteHeader(http.StatusNoContent)
	})
	s.control.HandleFunc("DELETE /control/vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.vms.remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	s.control.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Counts())
	})
}
