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
	// giveUpShare is the share of clients that cancel a job that was not accepted at the first try.
	giveUpShare = 0.5
	// cancelShare is the share of accepted jobs that are cancelled a little later, unknownShare that of jobs
	// that are cancelled and never submitted.
	cancelShare, unknownShare = 0.1, 0.03
	// looks is how often a client asks for the state of an accepted job, lookEvery the time between.
	looks     = 4
	lookEvery = 1500 * time.Millisecond
)

// clients submit, cancel and look up jobs over connections that they keep as long as these hold.
type clients struct {
	w      *world
	http   *http.Client
	random *rand.Rand
}

func newClients(w *world, seed uint64) *clients {
	return &clients{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, random: rand.New(rand.NewPCG(seed, 6))}
}

// run submits jobs at a steady rate and waits for their clients.
func (c *clients) run(traffic, every time.Duration) {
	var all sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Duration(n)*every < traffic; n++ {
		j := newJob(c.random, n)
		c.w.jobs.add(j)
		p := patience{first: c.random.IntN(len(c.w.vms)), givesUp: c.random.Float64() < giveUpShare, cancels: c.random.Float64() < cancelShare}
		unknown := c.random.Float64() < unknownShare
		if c.w.skips(n) {
			continue
		}
		// The other jobs keep their times if some are left out.
		time.Sleep(time.Until(begin.Add(time.Duration(n) * every)))
		all.Go(func() {
			if unknown {
				c.cancel(j, p.first)
				return
			}
			c.serve(j, p)
		})
	}
	time.Sleep(time.Until(begin.Add(traffic)))
	all.Wait()
}

// patience is how a client goes about its job.
type patience struct {
	// first is the VM that it tries first.
	first int
	// givesUp tells that it cancels the job after an unclear answer, cancels that it does after a 2xx.
	givesUp, cancels bool
}

// serve is the life of one client.
func (c *clients) serve(j *job, p patience) {
	j.body.FirstRunMS = 0
	if j.body.Repetitions > 0 {
		j.body.FirstRunMS = time.Now().Add(j.firstRun).UnixMilli()
	}
	c.submit(j, p.first, p.givesUp)
	switch {
	case j.accepted && p.cancels:
		time.Sleep(500 * time.Millisecond)
		c.cancel(j, p.first+1)
	case j.accepted:
		for look := range looks {
			time.Sleep(lookEvery)
			c.look(j, c.w.vm(p.first+look))
		}
	case !j.refused && p.givesUp:
		c.cancel(j, p.first+1)
	}
}

// look checks the state that a VM shows of a job.
func (c *clients) look(j *job, v *vm) string {
	state, _ := c.state(v, j)
	c.w.checker.checkState(j, state, v.name)
	return state
}

// submit sends a job until a try is answered for good.
func (c *clients) submit(j *job, first int, givesUp bool) {
	body, err := json.Marshal(j.body)
	if err != nil {
		panic(err) // The fields are plain.
	}
	j.mu.Lock()
	j.sent = true
	j.mu.Unlock()
	for try := range submitTries {
		status, _ := c.call(c.w.vm(first+try), http.MethodPost, j, body)
		j.mu.Lock()
		switch {
		case status >= 200 && status < 300:
			j.accepted = true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			j.refused, j.refusedLater = try == 0, try > 0
		}
		final := j.accepted || j.refused || j.refusedLater
		j.mu.Unlock()
		if final || status == http.StatusNotFound || givesUp {
			return
		}
	}
}

// cancel sends a DELETE until it is acknowledged.
func (c *clients) cancel(j *job, first int) {
	j.mu.Lock()
	j.asked = true
	j.mu.Unlock()
	for try := range cancelTries {
		status, _ := c.call(c.w.vm(first+try), http.MethodDelete, j, nil)
		if (status >= 200 && status < 300) || status == http.StatusGone {
			j.mu.Lock()
			j.cancelled = time.Now()
			if status == http.StatusGone {
				j.gone = j.cancelled
			}
			j.mu.Unlock()
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

// call makes one call as the client of a job; status 0 means no response.
func (c *clients) call(v *vm, method string, j *job, body []byte) (int, []byte) {
	if !c.w.options.Accounts {
		return c.callWithKey(v, method, j, body, "")
	}
	return c.callWithKey(v, method, j, body, c.w.keys.current(accountOf(j.id)))
}

// callWithKey makes one call with an API key, or without one if it is empty; status 0 means no response.
func (c *clients) callWithKey(v *vm, method string, j *job, body []byte, key string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.front.Addr()+"/"+j.queue+"/"+j.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // The address and the path are plain.
	}
	req.Host, req.GetBody = host, nil
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
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
