package play

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rhubarbstall.example/platform"
)

const (
	// deadline is how long a client waits for a response.
	deadline = 3 * time.Second
	// submitTries is how often a client sends a job, cancelTries how often it sends a DELETE.
	submitTries, cancelTries = 4, 4
	// giveUpShare is the share of clients that cancel a job that was not accepted at the first try.
	giveUpShare = 0.5
	// rareShare is the share of steps that require rareKind.
	rareShare = 0.1
	// cancelShare is the share of accepted jobs that are cancelled a little later.
	cancelShare = 0.1
)

// job is what a client knows of a job.
type job struct {
	id, queue string
	steps     []map[string]any
	// accepted tells that a try got a 2xx; refused that the only try got 429 or 503, refusedLater that one
	// after an unclear answer did.
	accepted, refused, refusedLater bool
	// cancelled is when a DELETE got 2xx or 410; asked tells that one was sent.
	cancelled time.Time
	asked     bool
	// gone is when a DELETE got 410: there is no such job, and never will be.
	gone time.Time
}

// clients submit, cancel and look up jobs over connections that they keep as long as these hold.
type clients struct {
	w      *world
	http   *http.Client
	random *rand.Rand

	mu   sync.Mutex
	jobs []*job
}

func newClients(w *world, seed uint64) *clients {
	return &clients{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, random: rand.New(rand.NewPCG(seed, 6))}
}

// newJob draws a job: one to three steps of few tasks, gangs among them.
func (c *clients) newJob(n int) *job {
	j := &job{id: fmt.Sprintf("%016x", n+1)}
	j.queue = queueOf(j.id)
	for i := range 1 + c.random.IntN(3) {
		step := map[string]any{
			"count": 1 + c.random.IntN(4), "cpu": taskSize.MilliCPU, "requested_memory_mb": taskSize.MemoryMB, "estimated_ms": 1000,
		}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		if c.random.Float64() < rareShare {
			step["requirements"] = rareKind
		}
		j.steps = append(j.steps, step)
	}
	return j
}

// run submits jobs at a steady rate and waits for their clients.
func (c *clients) run(traffic, every time.Duration) {
	var all sync.WaitGroup
	for n := 0; time.Duration(n)*every < traffic; n++ {
		j := c.newJob(n)
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		first, givesUp, cancels := c.random.IntN(vmCount), c.random.Float64() < giveUpShare, c.random.Float64() < cancelShare
		all.Go(func() { c.serve(j, first, givesUp, cancels) })
		time.Sleep(every)
	}
	all.Wait()
}

// serve is the life of one client.
func (c *clients) serve(j *job, first int, givesUp, cancels bool) {
	c.submit(j, first, givesUp)
	switch {
	case j.accepted && cancels:
		time.Sleep(500 * time.Millisecond)
		c.cancel(j, first+1)
	case !j.accepted && !j.refused && givesUp:
		c.cancel(j, first+1)
	}
}

// submit sends a job until a try is answered for good.
func (c *clients) submit(j *job, first int, givesUp bool) {
	body, err := json.Marshal(map[string]any{"specification": "x", "steps": j.steps})
	if err != nil {
		panic(err) // The fields are plain.
	}
	for try := range submitTries {
		status, _ := c.call(c.w.vms[(first+try)%vmCount], http.MethodPost, j, body)
		switch {
		case status >= 200 && status < 300:
			j.accepted = true
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			j.refused, j.refusedLater = try == 0, try > 0
			return
		case status == http.StatusNotFound || givesUp:
			return
		}
	}
}

// cancel sends a DELETE until it is acknowledged.
func (c *clients) cancel(j *job, first int) {
	j.asked = true
	for try := range cancelTries {
		status, _ := c.call(c.w.vms[(first+try)%vmCount], http.MethodDelete, j, nil)
		if (status >= 200 && status < 300) || status == http.StatusGone {
			j.cancelled = time.Now()
			if status == http.StatusGone {
				j.gone = j.cancelled
			}
			return
		}
	}
}

// state asks a VM for the state of a job; "" if the VM gives none, with the status. It asks on the route
// that is never removed.
func (c *clients) state(v *vm, j *job) (string, int) {
	status, body := c.call(v, http.MethodGet, &job{id: j.id, queue: plainQueue}, nil)
	var reply struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &reply) != nil {
		return "", status
	}
	return reply.State, status
}

// call makes one call; status 0 means no response.
func (c *clients) call(v *vm, method string, j *job, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.clients+"/"+j.queue+"/"+j.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // The address and the path are plain.
	}
	req.Host, req.GetBody = host, nil
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}
