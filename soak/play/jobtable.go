package play

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"rhubarbstall.example/standin/cellrunner"
)

// jobTable holds the jobs of a run by id.
type jobTable struct {
	mu   sync.Mutex
	jobs map[string]*job
	list []*job
}

func newJobTable() *jobTable { return &jobTable{jobs: make(map[string]*job)} }

func (t *jobTable) add(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[j.id] = j
	t.list = append(t.list, j)
}

// all returns the jobs in the order of their submission.
func (t *jobTable) all() []*job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.list)
}

// find returns the job, the step and the name of a task; j is nil if no client drew such a task.
func (t *jobTable) find(task string) (j *job, s step, name taskName) {
	name, ok := parseTask(task)
	t.mu.Lock()
	defer t.mu.Unlock()
	j = t.jobs[name.job]
	if !ok || j == nil || !j.has(name) {
		return nil, step{}, name
	}
	return j, j.body.Steps[name.step], name
}

// taskSize returns the size and the work of a task for the runners.
func (t *jobTable) taskSize(task string) (cellrunner.Size, time.Duration) {
	h := fnv.New32()
	_, _ = h.Write([]byte(task))
	work := time.Duration(200+h.Sum32()%1800) * time.Millisecond
	_, s, name := t.find(task)
	if s.Image != "" {
		work = imageWork
	}
	if s.Gang {
		// The members end together.
		h.Reset()
		_, _ = h.Write([]byte(name.stepKey()))
		work = time.Duration(200+h.Sum32()%1800) * time.Millisecond
	}
	return cellrunner.Size{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB, GPUs: s.GPUs}, work
}

// gangSize returns how many tasks the gang of a task has; 0 if it is in none.
func (t *jobTable) gangSize(task string) int {
	if _, s, _ := t.find(task); s.Gang {
		return s.Count
	}
	return 0
}

// taskTraits returns the traits of a task for the runners.
func (t *jobTable) taskTraits(task string) cellrunner.Traits {
	j, s, name := t.find(task)
	traits := cellrunner.Traits{Lasting: s.Lasting, Checkpoints: s.Checkpointing, Poisoned: j != nil && j.poisoned && name.step == 0, Image: s.Image}
	if s.Image == sensitiveImage {
		traits.SlowBeside = noisyImage
	}
	return traits
}
