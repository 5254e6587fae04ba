package front

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"rhubarbstall.example/api/codes"
)

// Guards against a log that consists of stack traces while callers are refused: the line of a
// refused request has its cause and code, and no trace; an internal fault keeps the trace.
func TestRefusedRequestIsLoggedWithoutStackTrace(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	h := &Handler{log: zap.New(core)}
	h.writeError(httptest.NewRecorder(), httptest.NewRequest("GET", "/x", nil), codes.NotFound.Errorf("no queue for %s", "/x"))
	h.writeError(httptest.NewRecorder(), httptest.NewRequest("GET", "/x", nil), codes.Internal.Errorf("broken"))
	must.Len(t, 2, lines.All())
	refused, internal := lines.All()[0].ContextMap(), lines.All()[1].ContextMap()
	must.Eq(t, "no queue for /x", refused["error"])
	must.MapNotContainsKey(t, refused, "errorVerbose")
	must.MapContainsKey(t, internal, "errorVerbose")
}
