package router

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their request or the router.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
