package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/cluster"
	standplatform "rhubarbstall.example/standin/platform"
)

// Case describes a deployment and its load for one measurement.
type Case struct {
	Name    string
	Entries int
	Workers int
	// Tasks is the number of tasks that run during the whole measurement.
	Tasks int
	// Runners is the number of upstreams, RequestsPerSecond the rate of requests to them.
	Runners           int
	RequestsPerSecond int
	// StartsPerSecond is the number of tasks of 1 s that are submitted per second, in jobs of
	// tasksPerShortJob tasks.
	StartsPerSecond int
}

// Result holds the resources that the daemons of a case used during the measurement.
type Result struct {
	Case Case
	// Scheduler holds the resources that the zone scheduler used, Other those that another
	// entry VM used.
	Scheduler Sample
	Other     Sample
	// Seconds is the duration of the measurement.
	Seconds float64
	// PlatformCalls holds the calls to the platform per second by type.
	PlatformCalls map[string]float64
	// Requests is the number of requests answered during the measurement.
	Requests int64
}

const (
	zone = "z1"
	// settleTime is the wait before the first sample, so that the measurement excludes start-up
	// work.
	settleTime = 5 * time.Second
	// startupTimeout limits the start of a case.
	startupTimeout = 3 * time.Minute
	// tasksPerLongJob is the largest size of the jobs submitted for Tasks. The API allows
	// 20,000 tasks in a job.
	tasksPerLongJob = 2000
	// tasksPerShortJob is the size of the jobs submitted for StartsPerSecond.
	tasksPerShortJob = 50
)

const settingsDocument = `{
  "availability_zones": ["z1"],
  "limits": {"owner_lease_ms": 3000, "task_lease_ms": 60000, "job_retention_ms": 60000},
  "head_office": {"kinds": {
    "check": {"urgency": 90, "patience_ms": 2000, "deadline_ms": 10000},
    "long": {"urgency": 10, "patience_ms": 3600000},
    "short": {"urgency": 50, "patience_ms": 60000},
  }},
}`

// Run starts the deployment of a case with the programs in bin, measures it for the given
// time and stops it.
func Run(ctx context.Context, bin string, cs Case, measure time.Duration) (Result, error) {
	dir, err := os.MkdirTemp("", "rhubarbstall-slopes-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	c, err := cluster.New(bin, dir)
	if err != nil {
		return Result{}, err
	}
	defer c.Stop(5 * time.Second)
	if err := c.StartPlatform("-history", ""); err != nil {
		return Result{}, err
	}
	workers, err := StartWorkers(c, zone, cs.Workers)
	if err != nil {
		return Result{}, err
	}
	defer workers.Close()
	if err := startCase(ctx, c, cs); err != nil {
		return Result{}, err
	}
	return measureCase(ctx, c, cs, measure)
}

// startCase starts runners and entry VMs, applies the settings, and waits until the
// long tasks run and start-up work has ended.
func startCase(ctx context.Context, c *cluster.Cluster, cs Case) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	for i := range cs.Runners {
		if err := c.StartRunner(fmt.Sprintf("runner-%d", i), zone, "-service", "check=5ms", "-history", ""); err != nil {
			return err
		}
	}
	for i := range cs.Entries {
		if err := c.StartEntry(cluster.EntryOptions{Name: fmt.Sprintf("entry-%d", i), Zone: zone, LogLevel: "warn"}); err != nil {
			return err
		}
	}
	for _, e := range c.Entries() {
		if err := c.AwaitReady(ctx, e.Name, false); err != nil {
			return err
		}
	}
	ca, err := caller.New(c.Entries(), nil)
	if err != nil {
		return err
	}
	if _, err := ca.Apply(ctx, settingsDocument, "slopes"); err != nil {
		return err
	}
	if cs.Workers > 0 {
		if _, err := ca.AwaitZoneScheduler(ctx, zone, ""); err != nil {
			return err
		}
	}
	for left := cs.Tasks; left > 0; left -= tasksPerLongJob {
		if err := startLongTasks(ctx, ca, min(left, tasksPerLongJob)); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// startLongTasks submits a job of long tasks and waits until all of them run.
func startLongTasks(ctx context.Context, ca *caller.Caller, tasks int) error {
	job, err := ca.SubmitUntilAcked(ctx, jobSpec("long", tasks, time.Hour))
	if err != nil {
		return err
	}
	_, err = ca.AwaitJob(ctx, job.ID, func(j *oas.Job) bool { return j.Counts.Running == tasks })
	return err
}

func jobSpec(kind string, tasks int, run time.Duration) *oas.JobSpec {
	return &oas.JobSpec{
		Kind: kind, Department: "head_office", Tasks: oas.NewOptInt(tasks),
		Size: oas.Size{MilliCPU: 500, MemoryMB: 512}, RunMs: oas.NewOptInt64(run.Milliseconds()),
		IdempotencyKey: oas.NewOptString(fmt.Sprintf("%s-%d", kind, time.Now().UnixNano())),
	}
}

// measureCase samples the daemons before and after it generates the load of the
// case, and returns the difference.
func measureCase(ctx context.Context, c *cluster.Cluster, cs Case, measure time.Duration) (Result, error) {
	ca, err := caller.New(c.Entries(), nil)
	if err != nil {
		return Result{}, err
	}
	before, err := sampleAll(c)
	if err != nil {
		return Result{}, err
	}
	callsBefore, err := platformCalls(c)
	if err != nil {
		return Result{}, err
	}
	begin := time.Now()
	requests := generateLoad(ctx, ca, cs, measure)
	seconds := time.Since(begin).Seconds()
	after, err := sampleAll(c)
	if err != nil {
		return Result{}, err
	}
	callsAfter, err := platformCalls(c)
	if err != nil {
		return Result{}, err
	}
	res := Result{Case: cs, Seconds: seconds, Requests: requests, PlatformCalls: make(map[string]float64)}
	for call, n := range callsAfter {
		res.PlatformCalls[call] = float64(n-callsBefore[call]) / seconds
	}
	scheduler := zoneSchedulerID(ctx, ca)
	for name := range after {
		used := after[name].Since(before[name])
		if name == scheduler {
			res.Scheduler = used
		} else {
			res.Other = used
		}
	}
	return res, nil
}

// zoneSchedulerID returns the VM ID of the zone scheduler, or "" if it is unknown.
func zoneSchedulerID(ctx context.Context, ca *caller.Caller) string {
	vms, err := ca.Client(0).ListVMs(ctx)
	if err != nil {
		return ""
	}
	for _, vm := range vms {
		if vm.ZoneScheduler.Or(false) {
			return vm.ID
		}
	}
	return ""
}

// sampleAll returns a sample of each entry VM by its name.
func sampleAll(c *cluster.Cluster) (map[string]Sample, error) {
	out := make(map[string]Sample)
	for _, e := range c.Entries() {
		s, err := ScrapeSample(e.Addr)
		if err != nil {
			return nil, err
		}
		out[e.Name] = s
	}
	return out, nil
}

// platformCalls returns the number of calls to the platform by type since its start.
func platformCalls(c *cluster.Cluster) (map[string]uint64, error) {
	p, err := c.Process("platform")
	if err != nil {
		return nil, err
	}
	resp, err := http.Get(fmt.Sprintf("http://%s/control/counts", p.Ready.Control))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var counts standplatform.Counts
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return nil, err
	}
	return counts.Calls, nil
}

// generateLoad sends requests and submits jobs at the rates of the case and
// returns the number of answered requests.
func generateLoad(ctx context.Context, ca *caller.Caller, cs Case, measure time.Duration) int64 {
	ctx, cancel := context.WithTimeout(ctx, measure)
	defer cancel()
	var answered atomic.Int64
	var wg sync.WaitGroup
	if cs.RequestsPerSecond > 0 {
		wg.Go(func() {
			callEvery(ctx, time.Second/time.Duration(cs.RequestsPerSecond), func() {
				r := caller.Request{Kind: "check", Department: "head_office"}
				if _, err := ca.Client(ca.NextEntry()).SendRequest(context.WithoutCancel(ctx), &oas.UpstreamRequest{
					Kind: r.Kind, Department: r.Department, Body: []byte("x"),
				}); err == nil {
					answered.Add(1)
				}
			})
		})
	}
	if cs.StartsPerSecond > 0 {
		wg.Go(func() {
			callEvery(ctx, time.Second*tasksPerShortJob/time.Duration(cs.StartsPerSecond), func() {
				_, _ = ca.Client(ca.NextEntry()).SubmitJob(context.WithoutCancel(ctx), jobSpec("short", tasksPerShortJob, time.Second))
			})
		})
	}
	<-ctx.Done()
	wg.Wait()
	return answered.Load()
}

// callEvery calls f in a new goroutine at each interval until ctx is done, then
// waits for all calls to return.
func callEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			wg.Go(f)
		}
	}
}
