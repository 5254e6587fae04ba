package cellsched

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/standin/cellstore"
	"rhubarbstall.example/standin/memnet"
)

// storedCell is a store with jobs, and a network to reach it.
type storedCell struct {
	t     testing.TB
	net   *memnet.Network
	store *cellstore.Store
	web   *http.Server
	terms int64
	// link is taken while an answer is on its way to the VM.
	link chan struct{}
	// bitsPerSecond is the speed of the link; 0 for no limit.
	bitsPerSecond float64
	bytes         atomic.Int64
}

// ServeHTTP answers as the store does, at the speed of the VM's link.
func (c *storedCell) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	c.store.ServeHTTP(answer, r)
	c.bytes.Add(int64(answer.Body.Len()))
	if c.bitsPerSecond > 0 {
		c.link <- struct{}{}
		time.Sleep(time.Duration(float64(8*answer.Body.Len()) / c.bitsPerSecond * float64(time.Second)))
		<-c.link
	}
	w.WriteHeader(answer.Code)
	_, _ = answer.Body.WriteTo(w)
}

func newStoredCell(t testing.TB) *storedCell {
	c := &storedCell{t: t, net: memnet.New(), store: cellstore.New(1), link: make(chan struct{}, 1)}
	c.web = &http.Server{Handler: c}
	listener := c.net.Listen(simStore)
	go func() { _ = c.web.Serve(listener) }()
	return c
}

func (c *storedCell) close() { _ = c.web.Close() }

// term returns the scheduler of a further term, which has loaded nothing.
func (c *storedCell) term(valid func() bool) (*Scheduler, func()) {
	c.terms++
	client := platform.NewStore(c.net.Dialer("vm"), simStore, nil)
	c.store.Put("lead/term", fmt.Appendf(nil, "%d", c.terms))
	page, err := client.Range(context.Background(), "lead/term", "")
	must.NoError(c.t, err)
	guard := platform.Condition{Key: "lead/term", Revision: page.Items[0].Revision}
	s, err := New(Settings{VM: "vm", MaxHold: 6 * time.Second}, election.Term{Number: c.terms, Guard: guard, Valid: valid},
		client, platform.NewRunners(c.net.Dialer("vm")), zap.NewNop())
	must.NoError(c.t, err)
	s.ctx, s.stepDown = context.WithCancel(context.Background())
	return s, func() {
		s.stepDown()
		s.tasks.Wait()
		client.Close()
	}
}

// submit stores a job with a payload of a size.
func (c *storedCell) submit(n, payload int) string {
	id := fmt.Sprintf("%016x", n)
	body, err := json.Marshal(map[string]any{"specification": strings.Repeat("x", payload), "steps": []map[string]any{
		{"count": 1, "cpu": 1000, "requested_memory_mb": 100, "estimated_ms": 900},
	}})
	must.NoError(c.t, err)
	value, err := EncodeJob(JobHeader{Queue: "q", Pool: simPool}, body)
	must.NoError(c.t, err)
	c.store.Put(JobKey(id), value)
	return id
}

func always() bool { return true }

// Guards against a cell that never gets a scheduler again: the listing took longer than its
// time limit over the link of a small VM, and began anew each time.
func TestLongListingIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStoredCell(t)
		defer c.close()
		const jobs = 4000
		for n := range jobs {
			c.submit(n, 3500)
		}
		c.bitsPerSecond = 10e6
		s, end := c.term(always)
		defer end()
		time.AfterFunc(time.Minute, s.stepDown)
		_, ok := s.load()
		must.True(t, ok)
		must.Eq(t, jobs, s.jobs())
	})
}
