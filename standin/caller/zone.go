package caller

import (
	"context"
	"fmt"
	"time"
)

// AwaitZoneScheduler waits until an entry VM reports a zone scheduler of the zone
// that is not the VM named excluded, and returns its VM ID.
func (c *Caller) AwaitZoneScheduler(ctx context.Context, zone, excluded string) (string, error) {
	for {
		if name := c.zoneScheduler(ctx, zone, excluded); name != "" {
			return name, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return "", fmt.Errorf("zone %s has no zone scheduler", zone)
		}
	}
}

// zoneScheduler queries one entry VM. It returns "" if the call fails or no zone
// scheduler other than excluded is reported.
func (c *Caller) zoneScheduler(ctx context.Context, zone, excluded string) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	zones, err := c.clients[c.NextEntry()].ListZones(ctx)
	if err != nil {
		return ""
	}
	for _, z := range zones {
		if name := z.ZoneScheduler.Or(""); z.Name == zone && name != excluded {
			return name
		}
	}
	return ""
}
