package runner

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/runner"
)

// run serves POST /v1/run. A run continues after the sender has closed the connection, unless
// it hangs.
func (s *Runner) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request body is incomplete, so nothing is run.
	}
	e := history.Event{
		Body: Digest(body), RequestID: r.Header.Get(wire.HeaderRequestID), Kind: r.Header.Get(wire.HeaderKind),
	}
	refusal, failing := s.acquireSlot()
	if refusal != "" {
		s.write(e, history.RunRefused, refusal)
		s.setStateHeader(w)
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	s.write(e, history.RunStarted, "")
	b := behaviorOf(body)
	s.waitServiceTime(r, b, e)
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
	// Release the slot before the answer is sent, so that a caller that has the answer never
	// finds the slot occupied.
	s.releaseSlot()
	s.respond(w, r, body, e.Result)
}

// waitServiceTime waits for the service time. It records the run as abandoned if the sender
// closes the connection meanwhile.
func (s *Runner) waitServiceTime(r *http.Request, b Behavior, e history.Event) {
	disconnected := r.Context().Done()
	if b.Hang {
		select {
		case <-disconnected:
			s.write(e, history.RunAbandoned, "")
		case <-s.stopHanging:
		}
		return
	}
	timer := time.NewTimer(s.o.serviceTime(e.Kind, b))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-disconnected:
		s.write(e, history.RunAbandoned, "")
		<-timer.C
	}
}

func (s *Runner) respond(w http.ResponseWriter, r *http.Request, body []byte, result string) {
	s.setStateHeader(w)
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
	_, _ = w.Write(answer) // The sender may have closed the connection.
}

func (s *Runner) setStateHeader(w http.ResponseWriter) {
	if state := s.stateHeader(); state != "" {
		w.Header().Set(wire.HeaderState, state)
	}
}

func (s *Runner) write(e history.Event, t history.Type, reason string) {
	e.Type, e.Reason = t, reason
	s.o.History.Write(e)
}
