package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/platform"
)

// Guards against telling a client that its job does not run while a try to store it
// may still take effect: the last try's own code said "not run".
func TestOpenOutcomeIsNotARefusal(t *testing.T) {
	cause := codes.NoZoneScheduler.Errorf("this VM does not schedule")
	must.Eq(t, http.StatusBadGateway, codes.Of(notStored(true, cause)).Info().Status)
	refused := notStored(false, cause)
	must.Eq(t, http.StatusServiceUnavailable, codes.Of(refused).Info().Status)
	must.Eq(t, time.Second, codes.RetryAfterOf(refused))
}

// Guards against a configuration that goes back to an older version, and against a
// shorter prefix that takes the requests of a longer one.
func TestRoutes(t *testing.T) {
	var r Routes
	must.False(t, r.Ready())
	must.True(t, r.Set(&platform.Configuration{Version: 7, Routes: []platform.Route{
		{Queue: "short", Host: "h.example", Prefix: "/a/"}, {Queue: "long", Host: "h.example", Prefix: "/a/b/"},
	}}))
	must.False(t, r.Set(&platform.Configuration{Version: 6}))
	must.Eq(t, int64(7), r.Version())
	route, rest, ok := r.current.Load().find("H.example:80", "/a/b/0123456789abcdef")
	must.True(t, ok)
	must.Eq(t, "long", route.Queue)
	must.Eq(t, "0123456789abcdef", rest)
	_, _, ok = r.current.Load().find("other.example", "/a/")
	must.False(t, ok)
}
