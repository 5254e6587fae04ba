package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"rhubarbstall.example/standin/history"
)

// Setting is the body of a control call. A missing Enabled means true.
type Setting struct {
	Enabled *bool `json:"enabled,omitempty"`
	// Millis is the duration in milliseconds for latency and stale-reads; zero disables them.
	Millis int64 `json:"ms,omitempty"`
	// Responses is the number of responses that lose-answers drops; zero disables it.
	Responses int `json:"n,omitempty"`
	// Path restricts lose-answers to one URL path; empty for all paths.
	Path string `json:"path,omitempty"`
}

// On reports whether the call enables the fault.
func (s Setting) On() bool { return s.Enabled == nil || *s.Enabled }

// RegisterHandlers adds the control calls that all simulated services have: outage, latency,
// lose-answers, black-hole and refuse. lose-answers does not affect GET calls.
func (g *Injector) RegisterHandlers(mux *http.ServeMux) {
	g.Handle(mux, "outage", func(s Setting) error {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.outage = s.On()
		return nil
	})
	g.Handle(mux, "latency", func(s Setting) error {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.latency = time.Duration(s.Millis) * time.Millisecond
		return nil
	})
	g.Handle(mux, "lose-answers", func(s Setting) error {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.lostResponses, g.lossPath = s.Responses, s.Path
		return nil
	})
	g.Handle(mux, "black-hole", func(s Setting) error {
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case s.On() && g.blackHole == nil:
			g.blackHole = make(chan struct{})
		case !s.On() && g.blackHole != nil:
			close(g.blackHole)
			g.blackHole = nil
		}
		return nil
	})
	g.Handle(mux, "refuse", func(s Setting) error {
		if g.RefuseConnections == nil {
			return errors.New("refuse is only available with a separate control address")
		}
		return g.RefuseConnections(s.On())
	})
}

// Handle adds POST /control/NAME, which calls set and records the call in the history. An
// error of set is answered with status 400 and is not recorded.
func (g *Injector) Handle(mux *http.ServeMux, name string, set func(Setting) error) {
	mux.HandleFunc("POST /control/"+name, func(w http.ResponseWriter, r *http.Request) {
		var s Setting
		err := json.NewDecoder(r.Body).Decode(&s)
		if err != nil && !errors.Is(err, io.EOF) {
			http.Error(w, fmt.Sprintf("decode body: %v", err), http.StatusBadRequest)
			return
		}
		if err := set(s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		text, _ := json.Marshal(s)
		g.History.Write(history.Event{Type: history.Fault, Reason: name + " " + string(text)})
		w.WriteHeader(http.StatusNoContent)
	})
}
