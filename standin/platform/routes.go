package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/platform"
)

const (
	// defaultListLimit is the page size of a list call without a limit.
	defaultListLimit = 1000
	// maxWatchWait is the longest time that a watch waits for a change.
	maxWatchWait = time.Minute
	// maxBodyBytes leaves room for the base64 encoding of the largest value.
	maxBodyBytes = 2 * wire.MaxValueBytes
)

func (s *Server) registerAPI(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.PathKV, s.limited("get", false, s.getKey))
	mux.HandleFunc("PUT "+wire.PathKV, s.limited("put", true, s.putKey))
	mux.HandleFunc("DELETE "+wire.PathKV, s.limited("delete", true, s.deleteKey))
	mux.HandleFunc("GET "+wire.PathList, s.limited("list", false, s.listKeys))
	mux.HandleFunc("GET "+wire.PathWatch, s.limited("watch", false, s.watchKeys))
	mux.HandleFunc("POST "+wire.PathLeases, s.limited("lease_grant", true, s.grantLease))
	mux.HandleFunc("POST "+wire.PathLeases+"/{id}", s.limited("lease_renew", true, s.renewLease))
	mux.HandleFunc("DELETE "+wire.PathLeases+"/{id}", s.limited("lease_revoke", true, s.revokeLease))
	mux.HandleFunc("GET "+wire.PathVMs, s.limited("vms", false, s.listVMs))
}

// limited counts the calls of a handler and applies the rate limit to them.
func (s *Server) limited(call string, write bool, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.limiter.allow(call, write) {
			s.history.Write(history.Event{Type: history.CallRefused, Reason: call})
			http.Error(w, "call rate exceeded", http.StatusTooManyRequests)
			return
		}
		h(w, r)
	}
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	e, ok := s.store.get(r.FormValue("key"))
	if !ok {
		http.Error(w, errNoKey.Error(), http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, e)
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	var req wire.PutRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge) || len(req.Value) > wire.MaxValueBytes:
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case req.Key == "":
		http.Error(w, "key is empty", http.StatusBadRequest)
	default:
		revision, current, err := s.store.put(req)
		replyToWrite(w, revision, current, err)
	}
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	var ifRevision *uint64
	if text := r.URL.Query().Get("if_revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ifRevision = &n
	}
	revision, current, err := s.store.deleteKey(r.URL.Query().Get("key"), ifRevision)
	replyToWrite(w, revision, current, err)
}

func replyToWrite(w http.ResponseWriter, revision uint64, current *wire.Entry, err error) {
	switch {
	case errors.Is(err, errConflict):
		reply(w, http.StatusPreconditionFailed, wire.Conflict{Current: current})
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		reply(w, http.StatusOK, wire.PutResponse{Revision: revision})
	}
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	limit := defaultListLimit
	if n, err := strconv.Atoi(r.FormValue("limit")); err == nil && n > 0 {
		limit = n
	}
	reply(w, http.StatusOK, s.store.list(r.FormValue("prefix"), r.FormValue("after"), limit))
}

func (s *Server) watchKeys(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after_revision"), 10, 64)
	millis, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	wait := min(time.Duration(millis)*time.Millisecond, maxWatchWait)
	reply(w, http.StatusOK, s.store.watch(r.Context(), r.FormValue("prefix"), after, wait))
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var req wire.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.TTLMillis <= 0 {
		http.Error(w, "ttl_ms must be greater than 0", http.StatusBadRequest)
		return
	}
	reply(w, http.StatusOK, s.store.grant(time.Duration(req.TTLMillis)*time.Millisecond))
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	l, err := s.store.renew(r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, l)
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	if err := s.store.revoke(r.PathValue("id")); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	params := r.URL.Query()
	revision, _ := strconv.ParseUint(params.Get(wire.ParamRevision), 10, 64)
	reply(w, http.StatusOK, s.vms.query(wire.VMQuery{
		AvailabilityZone: params.Get(wire.ParamZone),
		Role:             wire.VMRole(params.Get(wire.ParamRole)),
		Revision:         revision,
	}))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The client may have closed the connection.
}
