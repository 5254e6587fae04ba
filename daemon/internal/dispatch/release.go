package dispatch

import (
	"context"
	"sync"
	"time"

	wire "rhubarbstall.example/wire/worker"
)

// maxConcurrentReleases bounds the concurrent calls of ReleaseLeases.
const maxConcurrentReleases = 64

// ReleaseLeases gives up the owner leases, so that the next zone scheduler does not
// have to wait until they expire. Call it after Run has returned.
func (d *Dispatcher) ReleaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentReleases)
	var wg sync.WaitGroup
	d.mu.Lock()
	links := make([]*link, 0, len(d.links))
	for _, l := range d.links {
		if l.addr != "" && !l.silent {
			links = append(links, l)
		}
	}
	d.mu.Unlock()
	for _, l := range links {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			owner, _ := d.cfg.Leadership.MaySend(l.id)
			req := &wire.SyncRequest{Owner: owner, TaskLeaseMillis: d.cfg.TaskLease().Milliseconds(), ReleaseLease: true, Since: l.sequence}
			_, _ = d.cfg.Transport.Sync(ctx, l.addr, req)
		}()
	}
	wg.Wait()
}
