package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

var clientHTTP = &http.Client{Timeout: 3 * time.Second}

// call sends a client's request to a VM and returns the status and the body.
func (w *world) call(v *vm, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+v.client+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := clientHTTP.Do(req)
	if err != nil {
		w.rec.logf("client: %s %s at %s -> no answer: %v", method, path, v.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	w.rec.logf("client: %s %s at %s -> %d %s", method, path, v.name, resp.StatusCode, data)
	return resp.StatusCode, string(data)
}

// know makes a job known to the runners, which refuse what no client sent.
func (w *world) know(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j.done, j.failed, j.lastEnd = make(map[string]bool), make(map[string]int), make(map[string]time.Time)
	j.failedNoted = make(map[string]int)
	w.jobs[j.ID] = j
	w.order = append(w.order, j)
}

// submit hands a job in, at most four times, until it is accepted.
func (w *world) submit(j *job) error {
	w.know(j)
	body, err := json.Marshal(map[string]any{"specification": j.Spec, "steps": j.Steps})
	if err != nil {
		return err
	}
	for try := range 4 {
		v := w.vms[try%len(w.vms)]
		status, _ := w.call(v, http.MethodPost, j.queue.prefix()+j.ID, body)
		if status >= 200 && status < 300 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.ID)
}
