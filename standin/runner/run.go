package runner

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/runner"
)

// run serves POST /v1/run. A run goes on when the sender closes the connection,
// unless it hangs.
func (s *Runner) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The body is not whole, so nothing was run.
	}
	e := history.Event{
		Body: Digest(body), RequestID: r.Header.Get(wire.HeaderRequestID), Kind: r.Header.Get(wire.HeaderKind),
	}
	refusal, failing := s.take()
	if refusal != "" {
		s.write(e, history.RunRefused, refusal)
		s.setState(w)
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	s.write(e, history.RunStarted, "")
	b := behaviorOf(body)
	s.serve(r, b, e)
	e.Answer = Digest(Answer(body))
	e.Result = "answered"
	switch {
	case failing || b.Fail:
		e.Result = "failed"
	case b.Truncate:
		e.Result = "truncated"
	case b.Misdirect:
		e.Result = "misdirected"
	case b.Hang:
		e.Result = "hung"
	}
	s.write(e, history.RunEnded, "")
	// The slot is free before the answer leaves, so that a caller that has the
	// answer never finds the slot taken.
	s.free()
	s.answer(w, r, body, e.Result)
}

// serve waits for the service time and records an abandoned run.
func (s *Runner) serve(r *http.Request, b Behavior, e history.Event) {
	gone := r.Context().Done()
	if b.Hang {
		select {
		case <-gone:
			s.write(e, history.RunAbandoned, "")
		case <-s.stop:
		}
		return
	}
	timer := time.NewTimer(s.o.serviceTime(e.Kind, b))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
		s.write(e, history.RunAbandoned, "")
		<-timer.C
	}
}

func (s *Runner) answer(w http.ResponseWriter, r *http.Request, body []byte, result string) {
	s.setState(w)
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	if result == "failed" {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if result == "hung" {
		panic(http.ErrAbortHandler)
	}
	answer := Answer(body)
	if result == "misdirected" {
		answer = Answer(append([]byte("other "), body...))
		w.Header().Set(wire.HeaderRequestID, "other")
	}
	w.Header().Set(wire.HeaderDigest, Digest(answer))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if result == "truncated" {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer) // The connection may be gone.
}

func (s *Runner) setState(w http.ResponseWriter) {
	if state := s.state(); state != "" {
		w.Header().Set(wire.HeaderState, state)
	}
}

func (s *Runner) write(e history.Event, t history.Type, reason string) {
	e.Type, e.Reason = t, reason
	s.o.History.Write(e)
}
