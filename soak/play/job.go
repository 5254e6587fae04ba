package play

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbstall.example/standin/cellrunner"
)

// step is a step of a job, as the body of a POST names its fields.
type step struct {
	Count         int    `json:"count"`
	MilliCPU      int64  `json:"cpu"`
	MemoryMB      int64  `json:"requested_memory_mb"`
	GPUs          int64  `json:"gpus,omitempty"`
	EstimatedMS   int64  `json:"estimated_ms"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang_scheduled,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	RunnerLabel   string `json:"requirements,omitempty"`
	DataRack      string `json:"affinity,omitempty"`
	MaxPerRunner  int    `json:"anti_affinity,omitempty"`
	Lasting       bool   `json:"long_running,omitempty"`
}

// jobBody is the body of a POST.
type jobBody struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`
	Repetitions   int    `json:"repetitions,omitempty"`
	FirstRunMS    int64  `json:"first_run_ms,omitempty"`
	IntervalMS    int64  `json:"interval_ms,omitempty"`
}

// job is a job and what its client knows of it.
type job struct {
	id, queue string
	body      jobBody
	// firstRun is when the first occurrence of a repeated job is due, counted from the job's first POST.
	firstRun time.Duration
	// poisoned tells that the tasks of the first step always fail.
	poisoned bool

	// mu guards what follows.
	mu sync.Mutex
	// sent tells that a POST was sent; accepted that one got a 2xx.
	sent, accepted bool
	// refused tells that the only try got 429 or 503, refusedLater that one after an unclear answer did.
	refused, refusedLater bool
	// asked tells that a DELETE was sent; cancelled is when one got 2xx or 410, gone when one got 410: there
	// is no such job, and never will be.
	asked           bool
	cancelled, gone time.Time
}

// The shares of jobs and steps with special demands.
const (
	// submitTries is how often a client sends a job, cancelTries how often it sends a DELETE.
	submitTries, cancelTries = 4, 4

	repeatedShare, lastingShare, poisonedShare = 0.08, 0.04, 0.03

	gangShare, checkpointShare, rareShare, gpuShare, spreadShare, dataShare = 0.15, 0.15, 0.1, 0.08, 0.1, 0.1
)

// maxSteps is the most steps of a job, maxTasks the most tasks of a step.
const maxSteps, maxTasks = 3, 5

// newJob draws the job with a number: one to three steps of few tasks.
func newJob(random *rand.Rand, n int) *job {
	j := &job{id: fmt.Sprintf("%016x", n+1)}
	j.queue = queueOf(j.id)
	j.body.Specification = "job " + strconv.Itoa(n)
	if random.Float64() < lastingShare {
		j.body.Steps = []step{{Count: 1 + random.IntN(2), MilliCPU: 500, MemoryMB: 200, EstimatedMS: 1000, Lasting: true}}
		return j
	}
	for i := range 1 + random.IntN(maxSteps) {
		j.body.Steps = append(j.body.Steps, newStep(random, i))
	}
	if random.Float64() < repeatedShare {
		j.body.Repetitions, j.body.IntervalMS = 2+random.IntN(2), 500+random.Int64N(1500)
		j.firstRun = time.Duration(random.Int64N(int64(3 * time.Second)))
	}
	j.poisoned = random.Float64() < poisonedShare
	return j
}

// newStep draws the step with a number. Whatever is drawn, runners that stay as they are can hold it.
func newStep(random *rand.Rand, i int) step {
	s := step{
		Count: 1 + random.IntN(maxTasks), MilliCPU: 250 + random.Int64N(1500), MemoryMB: 100 + random.Int64N(900), EstimatedMS: 300 + random.Int64N(2000),
	}
	if i > 0 {
		s.After = []int{random.IntN(i)}
	}
	if random.Float64() < gangShare {
		s.Gang, s.SameRack = true, random.Float64() < 0.5
		return s
	}
	s.Checkpointing = random.Float64() < checkpointShare
	if random.Float64() < rareShare {
		s.RunnerLabel = rareKind
	} else if random.Float64() < gpuShare {
		s.GPUs = 1
	}
	if random.Float64() < spreadShare {
		s.MaxPerRunner = 1
	}
	if random.Float64() < dataShare {
		s.DataRack = rackOf(random.IntN(rackCount))
	}
	return s
}

// occurrences returns how often the steps run.
func (j *job) occurrences() int { return max(1, j.body.Repetitions) }

// lasting reports whether the job's tasks run until it is cancelled.
func (j *job) lasting() bool { return j.body.Steps[0].Lasting }

// due returns when an occurrence is due; zero if the job is not repeated.
func (j *job) due(occurrence int) time.Time {
	if j.body.Repetitions == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.body.FirstRunMS + int64(occurrence)*j.body.IntervalMS)
}

// taskName is the name of a task in parts.
type taskName struct {
	job                     string
	occurrence, step, index int
}

// parseTask splits the name of a task, ID.K.STEP.INDEX. ok is false if it has another form.
func parseTask(name string) (t taskName, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return t, false
	}
	t.job = parts[0]
	for i, n := range []*int{&t.occurrence, &t.step, &t.index} {
		var err error
		if *n, err = strconv.Atoi(parts[i+1]); err != nil {
			return t, false
		}
	}
	return t, true
}

func (t taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

// stepKey names the step of a task in its occurrence.
func (t taskName) stepKey() string { return fmt.Sprintf("%s.%d.%d", t.job, t.occurrence, t.step) }

// has reports whether the job has a task.
func (j *job) has(t taskName) bool {
	return t.occurrence >= 0 && t.occurrence < j.occurrences() && t.step >= 0 && t.step < len(j.body.Steps) &&
		t.index >= 0 && t.index < j.body.Steps[t.step].Count
}

// tasks returns the tasks of a step in an occurrence.
func (j *job) tasks(occurrence, step int) []taskName {
	out := make([]taskName, j.body.Steps[step].Count)
	for i := range out {
		out[i] = taskName{j.id, occurrence, step, i}
	}
	return out
}

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
	return cellrunner.Traits{Lasting: s.Lasting, Checkpoints: s.Checkpointing, Poisoned: j != nil && j.poisoned && name.step == 0}
}
