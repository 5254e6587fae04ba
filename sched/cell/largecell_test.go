package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

const (
	largeCellRunners = 350
	runnersPerRack   = 12
	entryVMs         = 43
	// decisionInterval is the time between two decisions.
	decisionInterval = 20 * time.Millisecond
	// longCallTime is the duration above which an advice call counts as long; a quarter of
	// the VMs makes no long calls.
	longCallTime = 150 * time.Millisecond
	// maxReportInterval is the longest time between two reports of a runner.
	maxReportInterval = time.Second
)

// largeCellKind is one kind of jobs in a cell of 350 runners.
type largeCellKind struct {
	queue Queue
	// jobsPerSecond is the mean arrival rate.
	jobsPerSecond        float64
	meanSteps, meanTasks float64
	maxTasks             int
	work, maxWork        time.Duration
	size                 model.Resources
	gangShare            float64
	estimateSpread       float64
	approvedShare        float64
	submitted, inTime    int
}

// largeCellKinds returns kinds that together use about nine tenths of the runners' cores.
func largeCellKinds() []*largeCellKind {
	advice := func(base, perRunner float64) *AdvicePolicy {
		ms := float64(time.Millisecond)
		return &AdvicePolicy{Base: time.Duration(base * ms), PerRunner: time.Duration(perRunner * ms), Validity: 1500 * time.Millisecond}
	}
	queue := func(name string, priority int, target time.Duration, a *AdvicePolicy) Queue {
		return Queue{Name: name, Pool: "pool", Priority: priority, MaxAttempts: 3, SlackFactor: 1.5, TargetLatency: target, Advice: a}
	}
	return []*largeCellKind{
		{
			queue: queue("preview", 0, 250*time.Millisecond, advice(11.7, 0.169)), jobsPerSecond: 110,
			meanSteps: 1, meanTasks: 3.2, maxTasks: 19, work: 800 * time.Millisecond, maxWork: 2 * time.Second,
			size: model.Resources{MilliCPU: 5000, MemoryMB: 9100}, gangShare: 0.3, estimateSpread: 0.5, approvedShare: 0.7,
		},
		{
			queue: queue("variant", 2, 3*time.Second, advice(169, 2.34)), jobsPerSecond: 7.87,
			meanSteps: 1.5, meanTasks: 25, maxTasks: 150, work: 3400 * time.Millisecond, maxWork: 8400 * time.Millisecond,
			size: model.Resources{MilliCPU: 3500, MemoryMB: 6400}, estimateSpread: 0.2, approvedShare: 0.45,
		},
		{
			queue: queue("render", 1, time.Second, advice(702, 10.01)), jobsPerSecond: 3.81,
			meanSteps: 1.2, meanTasks: 20, maxTasks: 120, work: 6200 * time.Millisecond, maxWork: 16 * time.Second,
			size: model.Resources{MilliCPU: 9000, MemoryMB: 13000}, gangShare: 1, estimateSpread: 0.5, approvedShare: 0.3,
		},
	}
}

// largeCellRun is a run on a simulated runner.
type largeCellRun struct {
	run  *Run
	work time.Duration
	// ends is when the run has finished its work, or fails.
	ends  time.Time
	fails bool
}

type largeCellJob struct {
	kind     *largeCellKind
	job      *Job
	work     [][]time.Duration
	expected time.Duration
	accepted time.Time
	ended    bool
}

// secondStats holds what happened in one simulated second.
type secondStats struct {
	submitted, ended, inTime, starts, waiting, advice, states int
	// inTimeOf counts the jobs that ended in time, by kind.
	inTimeOf          []int
	usefulCoreSeconds float64
	decisionTimes     []time.Duration
}

// largeCellSim simulates a cell of 350 runners under load: jobs arrive at random, runners
// execute every order, and each VM makes one call to the advisor at a time.
type largeCellSim struct {
	t         *testing.T
	random    *rand.Rand
	seed      uint64
	startedAt time.Time
	now       time.Time
	cell      *Cell
	kinds     []*largeCellKind
	// factor multiplies the arrival rate of each kind.
	factor       []float64
	jobs         map[string]*largeCellJob
	open         int
	running      map[string][]*largeCellRun
	endNumbers   map[string]int64
	newEnds      map[string][]ReportedEnd
	lastReportAt map[string]time.Time
	calls        []AdviceCall
	// vmCalls holds the call that each VM makes.
	vmCalls       []entryVMCall
	seconds       []secondStats
	lastJobNumber int
	violations    []string
	// statesPerWrite is the maximum number of states in a write; writeGap is the time between
	// two writes.
	statesPerWrite int
	writeGap       time.Duration
	nextWrite      time.Time
	// faults are the faults of runners and of the advisor.
	faults largeCellFaults
	// idleSince holds since when a waiting group has had enough free capacity.
	idleSince map[*group]time.Time
	// heldBack holds the groups that waited although there was free capacity for longer
	// than heldBackAfter.
	heldBack map[string]time.Duration
}

type entryVMCall struct {
	call    AdviceCall
	sent    time.Time
	answer  time.Time
	pending bool
}

func newLargeCellSim(t *testing.T, seed uint64) *largeCellSim {
	w := &largeCellSim{
		t: t, random: rand.New(rand.NewPCG(seed, 17)), seed: seed, startedAt: time.Unix(1000, 0), now: time.Unix(1000, 0),
		kinds: largeCellKinds(), factor: []float64{1, 1, 1}, jobs: make(map[string]*largeCellJob),
		running: make(map[string][]*largeCellRun), endNumbers: make(map[string]int64), newEnds: make(map[string][]ReportedEnd),
		lastReportAt: make(map[string]time.Time), vmCalls: make([]entryVMCall, entryVMs),
		statesPerWrite: 1 << 20,
		idleSince:      make(map[*group]time.Time), heldBack: make(map[string]time.Duration),
	}
	w.cell = New(w.now, Config{Lease: 5800 * time.Millisecond, OrderTimeout: 500 * time.Millisecond, InheritedRunTimeout: 10 * time.Second, FirstExecution: 1, RemoteFactor: 1.5})
	var queues []Queue
	for _, k := range w.kinds {
		queues = append(queues, k.queue)
	}
	w.cell.SetQueues(queues)
	for i := range largeCellRunners {
		id := fmt.Sprintf("r%03d", i)
		w.cell.SetRunner(w.now, RunnerInfo{
			ID: id, Pool: "pool", Rack: fmt.Sprintf("k%d", i/runnersPerRack), Incarnation: 1,
			Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 65536},
		})
		w.report(id)
		// Periodic reports are spread over the interval.
		w.lastReportAt[id] = w.now.Add(-time.Duration(i) * maxReportInterval / largeCellRunners)
	}
	w.cell.SetStoredRoster(w.cell.Roster())
	return w
}

// sample returns a value of a log-normal distribution.
func (w *largeCellSim) sample(mean, spread float64) float64 {
	s2 := math.Log(1 + spread*spread)
	return math.Exp(math.Log(mean) - s2/2 + math.Sqrt(s2)*w.random.NormFloat64())
}

func (w *largeCellSim) submit(k *largeCellKind) {
	w.lastJobNumber++
	steps := max(1, int(k.meanSteps))
	if w.random.Float64() < k.meanSteps-float64(steps) {
		steps++
	}
	j := &Job{ID: fmt.Sprintf("%016x", w.lastJobNumber), Queue: k.queue.Name, Pool: "pool", Spec: Spec{Payload: "p"}}
	g := &largeCellJob{kind: k, job: j, accepted: w.now}
	gang := w.random.Float64() < k.gangShare
	var chain time.Duration
	for i := range steps {
		count := min(max(1, int(math.Round(w.sample(k.meanTasks, 0.8)))), k.maxTasks)
		usual := w.sample(float64(k.work), 0.5)
		step := Step{
			Count: count, Size: k.size, Gang: gang,
			Estimate: time.Duration(usual * w.sample(1, k.estimateSpread)),
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		work := make([]time.Duration, count)
		for n := range work {
			if n == 0 || !gang {
				work[n] = min(time.Duration(usual*w.sample(1, 0.15)), k.maxWork)
			} else {
				work[n] = work[0]
			}
		}
		j.Spec.Steps = append(j.Spec.Steps, step)
		g.work = append(g.work, work)
		chain += slices.Max(work) + k.queue.Advice.CallTime(30)
	}
	g.expected = k.queue.TargetLatency + time.Duration(k.queue.SlackFactor*float64(chain))
	must.True(w.t, w.cell.AddJob(w.now, j, nil))
	w.jobs[j.ID] = g
	w.open++
	k.submitted++
	w.currentSecond().submitted++
}

func (w *largeCellSim) currentSecond() *secondStats {
	n := int(w.now.Sub(w.startedAt) / time.Second)
	for len(w.seconds) <= n {
		w.seconds = append(w.seconds, secondStats{inTimeOf: make([]int, len(w.kinds))})
	}
	return &w.seconds[n]
}

// step simulates the time until the next decision.
func (w *largeCellSim) step() {
	w.now = w.now.Add(decisionInterval)
	for i, k := range w.kinds {
		// A Poisson process; the loop submits the few jobs that arrive in a step.
		rate := k.jobsPerSecond * w.factor[i] * decisionInterval.Seconds()
		for p := w.random.Float64(); rate > 0 && p > math.Exp(-rate); p *= w.random.Float64() {
			w.submit(k)
		}
	}
	w.serveCalls()
	for _, r := range w.cell.sortedRunners {
		id := r.info.ID
		w.endRuns(id)
		if len(w.newEnds[id]) > 0 || w.now.Sub(w.lastReportAt[id]) >= maxReportInterval {
			w.report(id)
		}
	}
	w.cell.Tick(w.now)
	s := w.currentSecond()
	s.waiting = max(s.waiting, len(w.waitingGroups()))
	begin := time.Now()
	d := w.cell.Decide(w.now, w.now)
	s.decisionTimes = append(s.decisionTimes, time.Since(begin))
	w.calls = append(w.calls, d.Advice...)
	for _, st := range d.Stops {
		w.stopRun(st.Run)
	}
	for _, st := range d.Starts {
		s.starts++
		w.orderStart(st.Run)
	}
	w.writeStates()
	w.cell.TakeEvents()
}

func (w *largeCellSim) recordEndedJob(g *largeCellJob) {
	g.ended = true
	w.open--
	s := w.currentSecond()
	s.ended++
	if g.job.VisibleState() == Completed && w.now.Sub(g.accepted) <= g.expected {
		s.inTime++
		g.kind.inTime++
		s.inTimeOf[slices.Index(w.kinds, g.kind)]++
	}
	w.cell.RemoveJob(g.job.ID)
}

func (w *largeCellSim) play(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// heldBackAfter is how long a group may wait while twice the capacity that it needs is free
// on the runners that may run it and less than half of the cell's cores are in use.
const heldBackAfter = 3 * time.Second

// settleTime is how long after the end of the load held-back groups begin to count.
const settleTime = 14 * time.Second

const (
	calmSeconds     = 15
	burstSeconds    = 5
	recoverySeconds = 25
	// burstFactor multiplies the load of one kind in a burst, which then exceeds the
	// capacity of the cell.
	burstFactor = 2.6
)
