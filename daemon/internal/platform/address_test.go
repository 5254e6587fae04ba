package platform

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a URL from the settings file being prefixed a second time, so
// that no call reaches the platform.
func TestBaseURLs(t *testing.T) {
	got := baseURLs([]string{"http://127.0.0.1:1", "https://127.0.0.1:2/", "127.0.0.1:3"})
	must.Eq(t, []string{"http://127.0.0.1:1", "https://127.0.0.1:2", "http://127.0.0.1:3"}, got)
}
