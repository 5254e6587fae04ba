package play

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
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
	Image         string `json:"image,omitempty"`
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
	j.setImages(n)
	return j
}

// Tasks of sensitiveImage take twice as long beside those of noisyImage, and all tasks of either are equally long, so that
// the scheduler notices. One in imageEvery jobs has the one image, and one the other.
const (
	sensitiveImage, noisyImage = "sensitive", "noisy"
	imageEvery                 = 4
	imageWork                  = 800 * time.Millisecond
)

// setImages draws nothing, so that seeds found earlier keep their jobs. Gangs and steps with checkpoints have no image: their
// work must not depend on where they start.
func (j *job) setImages(n int) {
	image := map[int]string{0: sensitiveImage, 1: noisyImage}[n%imageEvery]
	for i := range j.body.Steps {
		if s := &j.body.Steps[i]; !s.Gang && !s.Checkpointing {
			s.Image = image
		}
	}
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
