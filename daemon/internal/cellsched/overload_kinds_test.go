package cellsched

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
)

// loadKind describes one kind of jobs.
type loadKind struct {
	queue cell.Queue
	// jobsPerRunnerSecond is the number of jobs that are submitted each second for each runner.
	jobsPerRunnerSecond float64
	// steps is the mean number of steps of a job, tasks that of tasks of a step.
	steps, tasks float64
	maxTasks     int
	// taskDuration is the mean duration of a task.
	taskDuration time.Duration
	size         model.Resources
	// gangShare is the share of jobs whose steps are gangs.
	gangShare float64
	// estimateError is the standard deviation of estimates relative to the true duration.
	estimateError float64
	// approvedShare is the share of runners that the advisor approves for a step.
	approvedShare float64
}

// loadKinds returns the kinds of jobs. Together they use about nine tenths of the runners' cores.
func loadKinds() []*loadKind {
	advice := func(base, perRunner time.Duration) *cell.AdvicePolicy {
		return &cell.AdvicePolicy{Base: base, PerRunner: perRunner, Validity: 1500 * time.Millisecond}
	}
	queue := func(name string, priority int, target time.Duration, a *cell.AdvicePolicy) cell.Queue {
		return cell.Queue{Name: name, Pool: simPool, Priority: priority, MaxAttempts: simAttempts, SlackFactor: 1.5, TargetLatency: target, Advice: a}
	}
	return []*loadKind{
		{
			queue: queue("preview", 0, 250*time.Millisecond, advice(12*time.Millisecond, 170*time.Microsecond)), jobsPerRunnerSecond: 110.0 / 350,
			steps: 1, tasks: 3.2, maxTasks: 12, taskDuration: 800 * time.Millisecond,
			size: model.Resources{MilliCPU: 5000, MemoryMB: 9100}, gangShare: 0.3, estimateError: 0.5, approvedShare: 0.7,
		},
		{
			queue: queue("variant", 2, 3*time.Second, advice(170*time.Millisecond, 2300*time.Microsecond)), jobsPerRunnerSecond: 7.87 / 350,
			steps: 1.5, tasks: 25, maxTasks: 80, taskDuration: 3400 * time.Millisecond,
			size: model.Resources{MilliCPU: 3500, MemoryMB: 6400}, estimateError: 0.2, approvedShare: 0.45,
		},
		{
			queue: queue("render", 1, time.Second, advice(700*time.Millisecond, 10*time.Millisecond)), jobsPerRunnerSecond: 3.81 / 350,
			steps: 1.2, tasks: 20, maxTasks: 40, taskDuration: 6200 * time.Millisecond,
			size: model.Resources{MilliCPU: 9000, MemoryMB: 13000}, gangShare: 1, estimateError: 0.5, approvedShare: 0.3,
		},
	}
}

// logNormal returns a sample of a log-normal distribution, whose spread is its standard
// deviation relative to its mean. The caller holds s.mu.
func (s *loadSim) logNormal(mean, spread float64) float64 {
	s2 := math.Log(1 + spread*spread)
	return math.Exp(math.Log(mean) - s2/2 + math.Sqrt(s2)*s.random.NormFloat64())
}

// newRandomJob records a random job of a kind and returns its id and stored form.
func (s *loadSim) newRandomJob(k *loadKind) (string, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := &loadJob{kind: k, gang: s.random.Float64() < k.gangShare, submittedAt: time.Now()}
	n := int(k.steps)
	if s.random.Float64() < k.steps-float64(n) {
		n++
	}
	var steps []map[string]any
	var chain time.Duration
	for i := range n {
		// A gang must fit onto half of the runners that the advisor approves for it, with three
		// tasks on each.
		widest := min(k.maxTasks, int(k.approvedShare*float64(s.size.runners))/2*3)
		count := min(max(1, int(math.Round(s.logNormal(k.tasks, 0.8)))), widest)
		work := min(time.Duration(s.logNormal(float64(k.taskDuration), 0.5)), 5*k.taskDuration/2)
		step := map[string]any{
			"count": count, "cpu": k.size.MilliCPU, "requested_memory_mb": k.size.MemoryMB, "gang_scheduled": j.gang,
			"estimated_ms": max(1, int64(float64(work.Milliseconds())*s.logNormal(1, k.estimateError))),
		}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
		j.stepTasks, j.stepDurations = append(j.stepTasks, count), append(j.stepDurations, work)
		chain += work + k.queue.Advice.CallTime(30)
	}
	j.expectedDuration = k.queue.TargetLatency + time.Duration(k.queue.SlackFactor*float64(chain))
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	s.jobs[id] = j
	s.currentSecond().submitted++
	body, err := json.Marshal(map[string]any{"specification": strings.Repeat("x", max(1, s.size.payloadBytes)), "steps": steps})
	must.NoError(s.t, err)
	value, err := EncodeJob(JobHeader{Queue: k.queue.Name, Pool: simPool, AcceptedMS: time.Now().UnixMilli()}, body)
	must.NoError(s.t, err)
	return id, value
}
