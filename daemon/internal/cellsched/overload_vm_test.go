package cellsched

import (
	"context"
	"net"
	"sync"
	"time"

	"rhubarbstall.example/platform"
)

// processor serves the calls of one VM in turn, one each gap.
type processor struct {
	gap  time.Duration
	mu   sync.Mutex
	next time.Time
	used int
}

// take waits until the processor has served one call.
func (p *processor) take() {
	p.mu.Lock()
	p.used++
	p.mu.Unlock()
	p.work(p.gap)
}

// served returns the number of calls since it was last asked.
func (p *processor) served() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.used
	p.used = 0
	return n
}

// work waits until the processor has done work of a length, after all that came before.
func (p *processor) work(d time.Duration) {
	p.mu.Lock()
	end := time.Now()
	if p.next.After(end) {
		end = p.next
	}
	end = end.Add(d)
	p.next = end
	p.mu.Unlock()
	time.Sleep(time.Until(end))
}

// dialer returns a dial function whose connections take the processor for each call.
func (p *processor) dialer(dial platform.Dial) platform.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: c, p: p}, nil
	}
}

type slowConn struct {
	net.Conn
	p *processor
}

func (c *slowConn) Write(b []byte) (int, error) {
	c.p.take()
	return c.Conn.Write(b)
}
