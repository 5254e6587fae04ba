package cellstore

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// Refusal is how the store refuses the calls of one VM.
type Refusal int32

// The ways in which the platform documents that the store refuses a VM.
const (
	NoRefusal Refusal = iota
	RefuseUnavailable
	RefuseTooMany
	RefuseReset
	RefuseSilently
)

// Access is the store as one VM reaches it.
type Access struct {
	store   http.Handler
	refusal atomic.Int32
}

// NewAccess returns an access to a store that refuses nothing.
func NewAccess(store http.Handler) *Access { return &Access{store: store} }

// Refuse changes how calls are refused. It also holds for calls under way, such as a watch that waits.
func (a *Access) Refuse(r Refusal) { a.refusal.Store(int32(r)) }

func (a *Access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.refuse(w, r) {
		return
	}
	answer := httptest.NewRecorder()
	a.store.ServeHTTP(answer, r)
	if a.refuse(w, r) {
		return
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // A failure means that the VM has disconnected.
}

// refuse refuses a call and reports true, unless calls are not refused.
func (a *Access) refuse(w http.ResponseWriter, r *http.Request) bool {
	switch Refusal(a.refusal.Load()) {
	case RefuseUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RefuseTooMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case RefuseReset:
		panic(http.ErrAbortHandler)
	case RefuseSilently:
		hangUntilDisconnect(r)
	default:
		return false
	}
	return true
}
