package relay

import (
	"testing"

	"rhubarbstall.example/wire/encodingtest"
)

// Guards against a renamed field, which would break calls between VMs of two releases during an upgrade.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	encodingtest.RoundTrip[Batch](t, "batch.json")
	encodingtest.RoundTrip[Reply](t, "reply.json")
}
