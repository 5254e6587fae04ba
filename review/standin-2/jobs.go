package main

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"
)

// jobTable holds what the clients submitted.
type jobTable struct {
	mu   sync.Mutex
	jobs map[string][]*step
}

func newJobTable() *jobTable { return &jobTable{jobs: make(map[string][]*step)} }

func (t *jobTable) add(id string, steps ...*step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[id] = steps
}

// step returns the step of a task, which is named ID.K.STEP.INDEX.
func (t *jobTable) step(task string) *step {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := strings.Split(task, ".")
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		panic("odd task " + task)
	}
	return t.jobs[parts[0]][n]
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// waitFor waits until a condition holds; false if it does not within a time.
func waitFor(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
