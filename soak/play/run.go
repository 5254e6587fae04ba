package play

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Program is the path of rhubarbstalld.
	Program string
	// Dir gets the settings, the logs of the VMs and the report.
	Dir string
	// Traffic is how long clients submit jobs and faults begin.
	Traffic time.Duration
	// SubmitEvery is the time between two jobs.
	SubmitEvery time.Duration
	// VMs and Runners size the deployment.
	VMs, Runners int
	// Relays makes the VMs so small by their settings that the scheduler calls its runners through other VMs.
	Relays bool `json:",omitempty"`
	// Accounts makes the operator's configuration list client accounts, whose API keys change during the run.
	Accounts bool `json:",omitempty"`
	// SkipFaults and SkipJobs are the numbers of faults and jobs that the run leaves out of what its seed draws.
	SkipFaults, SkipJobs []int `json:",omitempty"`
}

// relayedRunnersPerVM is how many runners the scheduler's VM calls itself in a run with relays, and
// directRunnersPerCore how many a daemon calls itself for each core of its VM.
const (
	relayedRunnersPerVM  = 2
	directRunnersPerCore = 200
)

// settings returns the lines of the VMs' settings that depend on the run: the processor share, which nothing enforces, and
// the contracts.
func (o Options) settings() []string {
	cores := 1.0
	if o.Relays {
		cores = float64(relayedRunnersPerVM) / directRunnersPerCore
	}
	lines := []string{"limits.cpu_share=" + strconv.FormatFloat(cores, 'g', -1, 64)}
	if o.Accounts {
		lines = append(lines, "contracts=tenants,quota")
	}
	return lines
}

// Result is the outcome of a run.
type Result struct {
	Seed uint64
	// Jobs and Accepted count the jobs.
	Jobs, Accepted int
	// Broken holds a line for each broken promise, Known for each that KNOWN-RED.txt lists.
	Broken, Known []string
	Took          time.Duration
}

func (r Result) String() string {
	text := fmt.Sprintf("seed %d: %d jobs, %d accepted, %d promises broken, %v", r.Seed, r.Jobs, r.Accepted, len(r.Broken), r.Took.Round(time.Millisecond))
	lines := append([]string{text}, r.Broken...)
	for _, k := range r.Known {
		lines = append(lines, "known, see KNOWN-RED.txt: "+k)
	}
	return strings.Join(lines, "\n  ")
}

// Run plays one run and writes its report to Dir. It fails if the deployment does not start.
func Run(ctx context.Context, o Options) (Result, error) {
	begin := time.Now()
	result := Result{Seed: o.Seed}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return result, err
	}
	if err := o.save(); err != nil {
		return result, err
	}
	w, err := newWorld(o)
	defer w.close()
	if err != nil {
		return result, err
	}
	plan := o.plan()
	c := newClients(w, o.Seed)
	traffic := make(chan struct{})
	go func() {
		defer close(traffic)
		c.run(o.Traffic, o.SubmitEvery)
	}()
	probes := make(chan struct{})
	if o.Accounts {
		w.checkLimits()
		go func() {
			defer close(probes)
			c.probeKeys(traffic)
		}()
	} else {
		close(probes)
	}
	w.run(plan)
	<-traffic
	<-probes
	if o.Accounts {
		w.liftLimits()
	}
	calm := time.Now()
	w.logf("all faults have ended")
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	result.Broken, result.Known = c.check(calm)
	for _, j := range w.jobs.all() {
		result.Jobs++
		if j.accepted {
			result.Accepted++
		}
	}
	result.Took = time.Since(begin)
	if err := w.drawTimeline(o.Dir, result.Broken); err != nil {
		return result, err
	}
	report := append(w.lines(), result.String())
	return result, os.WriteFile(filepath.Join(o.Dir, "report.txt"), []byte(strings.Join(report, "\n")+"\n"), 0o600)
}
