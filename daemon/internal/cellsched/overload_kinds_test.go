package cellsched

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
)

// loadKind is one kind of jobs; perRunner is its number of jobs a second for each runner.
type loadKind struct {
	queue         cell.Queue
	perRunner     float64
	steps, tasks  float64
	maxTasks      int
	work          time.Duration
	size          model.Resources
	gangs         float64
	estimateError float64
	approved      float64
}

// loadKinds fill about nine tenths of the runners' cores together.
func loadKinds() []*loadKind {
	advice := func(base, perRunner time.Duration) *cell.AdvicePolicy {
		return &cell.AdvicePolicy{Base: base, PerRunner: perRunner, Validity: 1500 * time.Millisecond}
	}
	queue := func(name string, priority int, target time.Duration, a *cell.AdvicePolicy) cell.Queue {
		return cell.Queue{Name: name, Pool: simPool, Priority: priority, MaxAttempts: simAttempts, SlackFactor: 1.5, TargetLatency: target, Advice: a}
	}
	return []*loadKind{
		{
			queue: queue("preview", 0, 250*time.Millisecond, advice(12*time.Millisecond, 170*time.Microsecond)), perRunner: 110.0 / 350,
			steps: 1, tasks: 3.2, maxTasks: 12, work: 800 * time.Millisecond,
			size: model.Resources{MilliCPU: 5000, MemoryMB: 9100}, gangs: 0.3, estimateError: 0.5, approved: 0.7,
		},
		{
			queue: queue("variant", 2, 3*time.Second, advice(170*time.Millisecond, 2300*time.Microsecond)), perRunner: 7.87 / 350,
			steps: 1.5, tasks: 25, maxTasks: 80, work: 3400 * time.Millisecond,
			size: model.Resources{MilliCPU: 3500, MemoryMB: 6400}, estimateError: 0.2, approved: 0.45,
		},
		{
			queue: queue("render", 1, time.Second, advice(700*time.Millisecond, 10*time.Millisecond)), perRunner: 3.81 / 350,
			steps: 1.2, tasks: 20, maxTasks: 40, work: 6200 * time.Millisecond,
			size: model.Resources{MilliCPU: 9000, MemoryMB: 13000}, gangs: 1, estimateError: 0.5, approved: 0.3,
		},
	}
}

// sample returns a value of a distribution with a long tail; s.mu is held.
func (s *loadSim) sample(mean, spread float64) float64 {
	s2 := math.Log(1 + spread*spread)
	return math.Exp(math.Log(mean) - s2/2 + math.Sqrt(s2)*s.random.NormFloat64())
}

// draw returns a random job of a kind in the form in which callers send it.
func (s *loadSim) draw(k *loadKind) (string, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := &loadJob{kind: k, gang: s.random.Float64() < k.gangs, sent: time.Now()}
	n := int(k.steps)
	if s.random.Float64() < k.steps-float64(n) {
		n++
	}
	var steps []map[string]any
	var chain time.Duration
	for i := range n {
		// A gang is to fit onto half of the runners that may run it.
		widest := min(k.maxTasks, int(k.approved*float64(s.size.runners))/2*3)
		count := min(max(1, int(math.Round(s.sample(k.tasks, 0.8)))), widest)
		work := min(time.Duration(s.sample(float64(k.work), 0.5)), 5*k.work/2)
		step := map[string]any{
			"count": count, "cpu": k.size.MilliCPU, "requested_memory_mb": k.size.MemoryMB, "gang_scheduled": j.gang,
			"estimated_ms": max(1, int64(float64(work.Milliseconds())*s.sample(1, k.estimateError))),
		}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
		j.counts, j.work = append(j.counts, count), append(j.work, work)
		chain += work + k.queue.Advice.CallTime(30)
	}
	j.expected = k.queue.TargetLatency + time.Duration(k.queue.SlackFactor*float64(chain))
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	s.jobs[id] = j
	s.second().submitted++
	body, err := json.Marshal(map[string]any{"specification": "x", "steps": steps})
	must.NoError(s.t, err)
	value, err := EncodeJob(JobHeader{Queue: k.queue.Name, Pool: simPool, AcceptedMS: time.Now().UnixMilli()}, body)
	must.NoError(s.t, err)
	return id, value
}
