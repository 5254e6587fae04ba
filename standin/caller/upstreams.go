package caller

import (
	"context"
	"fmt"
	"time"
)

// AwaitUpstreams waits until every entry VM knows at least the wanted number of
// upstreams of its zone. An entry VM may be ready before the VM list of the
// platform contains the upstreams.
func (c *Caller) AwaitUpstreams(ctx context.Context, want int) error {
	for i, e := range c.entries {
		for {
			known, err := c.clients[i].ListUpstreams(ctx)
			if err == nil && len(known) >= want {
				break
			}
			select {
			case <-time.After(statePollInterval):
			case <-ctx.Done():
				return fmt.Errorf("entry VM %s knows %d of %d upstreams", e.Name, len(known), want)
			}
		}
	}
	return nil
}
