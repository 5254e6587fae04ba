package caller

import (
	"context"
	"fmt"
	"time"

	"rhubarbstall.example/api/oas"
)

// AwaitVMs waits until every entry VM reports at least the wanted number of entry
// VMs as alive.
func (c *Caller) AwaitVMs(ctx context.Context, want int) error {
	for i, e := range c.entries {
		for {
			alive := 0
			known, err := c.clients[i].ListVMs(ctx)
			if err == nil {
				for _, vm := range known {
					if vm.State == oas.VMStateAlive {
						alive++
					}
				}
			}
			if alive >= want {
				break
			}
			select {
			case <-time.After(statePollInterval):
			case <-ctx.Done():
				return fmt.Errorf("entry VM %s reports %d of %d entry VMs as alive", e.Name, alive, want)
			}
		}
	}
	return nil
}
