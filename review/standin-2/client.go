package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Clients by PROTOCOL.md: they submit a job again, to another VM, after no answer, 502 or 504.

const (
	host     = "jobs.example"
	prefix   = "/jobs/"
	deadline = 3 * time.Second
	retries  = 4
)

type clients struct {
	vms    []*vm
	record *record
	http   *http.Client
}

func newClients(vms []*vm, rec *record) *clients {
	return &clients{vms: vms, record: rec, http: &http.Client{Timeout: deadline}}
}

func (c *clients) call(n int, method, id string, body []byte) (int, []byte) {
	v := c.vms[n%len(c.vms)]
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", v.ip, frontPort, prefix, id), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
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

// submit hands a job in; it reports whether it was accepted, and the last status.
func (c *clients) submit(n int, id string, job map[string]any) (bool, int) {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	status := 0
	for try := range retries + 1 {
		status, _ = c.call(n+try, http.MethodPost, id, body)
		switch {
		case status >= 200 && status < 300:
			return true, status
		case status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
			return false, status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false, status
}

// state asks for the state of a job.
func (c *clients) state(n int, id string) (int, string) {
	status, data := c.call(n, http.MethodGet, id, nil)
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &out) // Other answers have no state.
	return status, out.State
}

// configure writes the operator's configuration with one queue.
func configure(s *store, set setup) {
	route := map[string]any{
		"name": "jobs", "host": host, "path_prefix": prefix, "service": pool, "priority": 1, "max_attempts": 3,
		"slack_factor": 2.0, "target_latency_ms": set.targetMS, "timeout_ms": deadline.Milliseconds(),
	}
	s.put("op/config", map[string]any{
		"version":  3,
		"routes":   []map[string]any{route},
		"services": []map[string]any{{"name": pool, "admission_check": false}},
		"limits":   map[string]any{"body_bytes": 262144, "header_bytes": 16384},
	})
}
