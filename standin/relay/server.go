package relay

import (
	"encoding/json"
	"net/http"

	"rhubarbstall.example/standin/history"
)

// CutRequest is the body of POST /control/cut and POST /control/heal. Direction is
// "forward", "backward" or "both"; both is the default. A cut in one direction restores
// the other one, and a heal restores both whatever its direction.
type CutRequest struct {
	Link      string `json:"link"`
	Direction string `json:"direction,omitempty"`
}

// Server serves the control calls of a set of links: POST /control/cut and
// POST /control/heal, both with a [CutRequest].
type Server struct {
	links   map[string]*Link
	history *history.Writer
	mux     *http.ServeMux
}

// NewServer returns a server that controls the links, which are keyed by name.
func NewServer(links map[string]*Link, h *history.Writer) *Server {
	s := &Server{links: links, history: h, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /control/cut", s.handle("cut"))
	s.mux.HandleFunc("POST /control/heal", s.handle("heal"))
	return s
}

// ServeHTTP serves the control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) handle(action string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req CutRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		link, ok := s.links[req.Link]
		if !ok {
			http.Error(w, "unknown link "+req.Link, http.StatusNotFound)
			return
		}
		cut := action == "cut"
		switch req.Direction {
		case "", "both":
			link.Cut(cut, cut)
		case "forward":
			link.Cut(cut, false)
		case "backward":
			link.Cut(false, cut)
		default:
			http.Error(w, "unknown direction "+req.Direction, http.StatusBadRequest)
			return
		}
		s.history.Write(history.Event{Type: history.Fault, Reason: action + " " + req.Link + " " + req.Direction})
		w.WriteHeader(http.StatusNoContent)
	}
}
