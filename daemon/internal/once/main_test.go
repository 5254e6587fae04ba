package once

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their claim.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
