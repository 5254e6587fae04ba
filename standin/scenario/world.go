// Package scenario runs scripted scenarios against a deployment of real
// processes on loopback addresses. README.md defines the commands.
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
	// limit bounds one scenario.
	limit = 60 * time.Second
	// stopLimit bounds the graceful end of one process.
	stopLimit = 6 * time.Second
	// waitLimit is the default time of a wait.
	waitLimit = 15 * time.Second
)

// world is the state of one scenario.
type world struct {
	bin     string
	ctx     context.Context
	cancel  context.CancelFunc
	cluster *cluster.Cluster
	caller  *caller.Caller
	flows   map[string]*flow
	jobs    map[string]string
	// restart starts a process again by name.
	restart map[string]func() error
	stopped bool
}

type worldKey struct{}

// Params returns the parameters of testscript for the scripts in dir, with the
// programs in bin.
func Params(bin, dir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			w := &world{
				bin: bin, ctx: ctx, cancel: cancel, flows: make(map[string]*flow),
				jobs: make(map[string]string), restart: make(map[string]func() error),
			}
			env.Values[worldKey{}] = w
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Defer(w.stop)
			return nil
		},
		Cmds: commands(),
	}
}

// stop ends all processes; it may be called twice.
func (w *world) stop() {
	w.cancel()
	if w.cluster == nil || w.stopped {
		return
	}
	w.stopped = true
	for _, f := range w.flows {
		<-f.done
	}
	w.cluster.Stop(stopLimit)
}

// command is a command of a scenario.
type command func(w *world, ts *testscript.TestScript, words []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"cluster": (*world).cmdCluster, "start": (*world).cmdStart,
		"sigkill": (*world).cmdSigkill, "freeze": (*world).cmdFreeze, "thaw": (*world).cmdThaw, "sigterm": (*world).cmdSigterm,
		"apply": (*world).cmdApply, "request": (*world).cmdRequest, "submit": (*world).cmdSubmit,
		"cancel": (*world).cmdCancel, "await": (*world).cmdAwait, "expect": (*world).cmdExpect,
		"pause": (*world).cmdPause, "platform": (*world).cmdPlatform, "lose-answers": (*world).cmdLoseAnswers,
		"replace-workers": (*world).cmdReplaceWorkers,
		"leave":           (*world).cmdLeave, "fault": (*world).cmdFault, "cut": (*world).cmdCut, "heal": (*world).cmdHeal,
		"zone-scheduler": (*world).cmdZoneScheduler, "check-history": (*world).cmdCheckHistory,
		"roster": (*world).cmdRoster,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(all))
	for name, run := range all {
		out[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			w := ts.Value(worldKey{}).(*world)
			if w.cluster == nil && name != "cluster" {
				ts.Fatalf("%s comes before cluster", name)
			}
			start := time.Now()
			err := run(w, ts, words)
			if err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
			ts.Logf("# %s took %.2f s", name, time.Since(start).Seconds())
		}
	}
	return out
}

// entry returns the index of an entry VM.
func (w *world) entry(name string) (int, error) {
	for i, e := range w.caller.Entries() {
		if e.Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no entry VM %q", name)
}
