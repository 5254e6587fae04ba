// Package scenario runs testscript scripts against a deployment of real processes on
// loopback addresses. README.md defines the commands of the scripts.
package scenario

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/cluster"
)

const (
	// scenarioTimeout limits one scenario.
	scenarioTimeout = 60 * time.Second
	// stopTimeout limits the graceful shutdown of one process.
	stopTimeout = 6 * time.Second
	// defaultWaitTimeout limits a wait for which the script gives no duration.
	defaultWaitTimeout = 15 * time.Second
)

// scenario is the state of one script while it runs.
type scenario struct {
	bin     string
	ctx     context.Context
	cancel  context.CancelFunc
	cluster *cluster.Cluster
	caller  *caller.Caller
	// requestGroups holds the groups of sent requests, jobs the job IDs, by name in the
	// script.
	requestGroups map[string]*requestGroup
	jobs          map[string]string
	// restart holds the functions that start a process again, by process name.
	restart map[string]func() error
	stopped bool
}

// scenarioKey is the key of the scenario in the values of a testscript.Env.
type scenarioKey struct{}

// Params returns the testscript parameters for the scripts in dir. The deployments
// run the programs in bin.
func Params(bin, dir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
			s := &scenario{
				bin: bin, ctx: ctx, cancel: cancel, requestGroups: make(map[string]*requestGroup),
				jobs: make(map[string]string), restart: make(map[string]func() error),
			}
			env.Values[scenarioKey{}] = s
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Defer(s.stop)
			return nil
		},
		Cmds: commands(),
	}
}

// stop cancels the requests in progress and stops all processes. It may be called
// more than once.
func (s *scenario) stop() {
	s.cancel()
	if s.cluster == nil || s.stopped {
		return
	}
	s.stopped = true
	for _, g := range s.requestGroups {
		<-g.done
	}
	s.cluster.Stop(stopTimeout)
}

// command implements a command of the scripts.
type command func(s *scenario, ts *testscript.TestScript, words []string) error

// commands returns the commands of the scripts by name. An error of a command fails the
// script.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"cluster": (*scenario).cmdCluster, "start": (*scenario).cmdStart,
		"sigkill": (*scenario).cmdSigkill, "freeze": (*scenario).cmdFreeze, "thaw": (*scenario).cmdThaw, "sigterm": (*scenario).cmdSigterm,
		"apply": (*scenario).cmdApply, "request": (*scenario).cmdRequest, "submit": (*scenario).cmdSubmit,
		"cancel": (*scenario).cmdCancel, "await": (*scenario).cmdAwait, "expect": (*scenario).cmdExpect,
		"pause": (*scenario).cmdPause, "platform": (*scenario).cmdPlatform, "lose-answers": (*scenario).cmdLoseAnswers,
		"replace-workers": (*scenario).cmdReplaceWorkers,
		"leave":           (*scenario).cmdLeave, "fault": (*scenario).cmdFault, "cut": (*scenario).cmdCut, "heal": (*scenario).cmdHeal,
		"zone-scheduler": (*scenario).cmdZoneScheduler, "check-history": (*scenario).cmdCheckHistory,
		"roster": (*scenario).cmdRoster,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(all))
	for name, run := range all {
		out[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			if neg {
				ts.Fatalf("command %s cannot be negated", name)
			}
			s := ts.Value(scenarioKey{}).(*scenario)
			if s.cluster == nil && name != "cluster" {
				ts.Fatalf("command %s needs a deployment: run the cluster command first", name)
			}
			start := time.Now()
			err := run(s, ts, words)
			if err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
			ts.Logf("# %s took %.2f s", name, time.Since(start).Seconds())
		}
	}
	return out
}

// entry returns the index of the entry VM with a name.
func (s *scenario) entry(name string) (int, error) {
	for i, e := range s.caller.Entries() {
		if e.Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no entry VM named %q", name)
}
