package play

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/standin/cellrunner"
	"rhubarbstall.example/standin/cellstore"
)

// linkDelay is the delay of a slow link in each direction.
const linkDelay = 150 * time.Millisecond

// downTime is how long a runner is away before its next life, so that what its earlier life had received does not
// reach the next.
const downTime = 50 * time.Millisecond

// lateShare is the share of calls that a fault of the store or of runners hits.
const lateShare = 0.33

// recordDelay is how long after a start was sent the store lacks it at most, if it got no answer.
const recordDelay = 1500 * time.Millisecond

// maySilenceScheduler reports whether a scheduler may be lost, or be unable to write to the store, while the fault lasts.
func (k faultKind) maySilenceScheduler() bool {
	switch k {
	case cutRunner, crashRunner, drainRunner, changeRunner, lateOrders, failingRuns, oddEntry, changeRoutes, rotateKeys, removeKeys, changeLimits, cutClients:
		return false
	default:
		return true
	}
}

// oddEntries are entries of another writer among those of the runners.
var oddEntries = []string{
	`{"service":"other","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":8000}}`,
	`{"service":"pool","address":"127.0.0.1:70000","state":"ready"}`,
	`{"service":"pool","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":1e300}}`,
	`[[[[[[`,
	strings.Repeat("[", 200_000),
	`{"service":"pool","address":"127.0.0.1:1","state":"ready","labels":["` + strings.Repeat("x", 100_000) + `"],"capacity":{"cpu":9000000000000000000}}`,
	`{"service":"pool","address":7,"state":["ready"],"labels":{"a":1},"capacity":[],"born":"now"}`,
}

// changeRunner lets a runner crash and start again as another kind.
func (w *world) changeRunner(r *runner, pick int) {
	kind := []string{plainKind, rareKind, gpuKind}[pick/len(w.runners)%3]
	size := runnerSizes[kind]
	if pick%2 == 0 {
		size = smallSize
	}
	// Nothing reaches the runner until its entry is written.
	r.link.Cut(true, true)
	r.link.Reset()
	time.Sleep(downTime)
	w.fleet.CrashInto(r.Runner, kind, size)
	w.register(r)
	// What was sent meanwhile met no process.
	r.link.Reset()
	r.link.Cut(false, false)
}

// leave lets a drained runner end, and another life of it register.
func (w *world) leave(r *runner) {
	w.store.Delete(platform.RunnerPrefix + r.ID)
	w.fleet.Crash(r.Runner)
	w.register(r)
}

// targets returns the VM and the runner that a fault hits, and the name of the one that it is about.
func (w *world) targets(f fault) (v *vm, r *runner, name string) {
	v, r = w.vm(f.pick), w.runners[f.pick%len(w.runners)]
	switch f.kind {
	case killLeader, freezeLeader, silenceAll, cutLeader, muteLeader:
		v = w.leader(f.pick)
	case changeRunner:
		r = w.runners[lastingRunners+f.pick%(len(w.runners)-lastingRunners)]
		return v, r, r.ID
	case cutRunner, crashRunner, drainRunner:
		return v, r, r.ID
	case lateWrites, lostAnswers, storeDown, dropHistory, oddEntry, changeRoutes, rotateKeys, removeKeys, changeLimits:
		return v, r, "store"
	case lateOrders, failingRuns:
		return v, r, "runners"
	}
	return v, r, v.name
}

// inject begins a fault, and returns what ends it.
func (w *world) inject(f fault, v *vm, r *runner) (end func()) {
	nothing := func() {}
	switch f.kind {
	case killVM, killLeader:
		return w.restartAfter(v, syscall.SIGKILL)
	case terminateVM:
		return w.restartAfter(v, syscall.SIGTERM)
	case freezeVM, freezeLeader:
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	case silenceStore, silenceAll:
		v.store.Cut(true, true)
		return func() { v.store.Cut(false, false) }
	case halfCutStore:
		v.store.Cut(false, true)
		return func() { v.store.Cut(false, false) }
	case cutRunner:
		r.link.Cut(true, true)
		return func() { r.link.Cut(false, false) }
	case crashRunner:
		w.fleet.Crash(r.Runner)
		w.register(r)
	case lateWrites:
		w.store.SetFaults(cellstore.Faults{DelayedWriteRate: lateShare})
		return func() { w.store.SetFaults(cellstore.Faults{}) }
	case lostAnswers:
		w.store.SetFaults(cellstore.Faults{LostResponseRate: lateShare})
		return func() { w.store.SetFaults(cellstore.Faults{}) }
	case storeDown:
		w.store.SetFaults(cellstore.Faults{NoResponseRate: 1})
		return func() { w.store.SetFaults(cellstore.Faults{}) }
	case dropHistory:
		w.store.DropHistory()
	case lateOrders:
		w.fleet.SetFaults(cellrunner.Faults{DelayRate: lateShare / 2, LostResponseRate: lateShare / 2})
		return func() { w.fleet.SetFaults(cellrunner.Faults{}) }
	case failingRuns:
		w.fleet.SetFaults(cellrunner.Faults{RunFailureRate: lateShare / 2})
		return func() { w.fleet.SetFaults(cellrunner.Faults{}) }
	case changeRoutes:
		w.configure(false, false)
		switch f.pick % 3 {
		case 0:
			// The route stays away, also over a change of the scheduler.
			return nothing
		case 1:
			return func() { w.configure(true, false) }
		}
		return func() { w.configure(true, true) }
	case rotateKeys:
		w.changeKeys(func() { w.keys.rotate(accountNames[f.pick%len(accountNames)]) })
	case removeKeys:
		account := accountNames[f.pick%len(accountNames)]
		w.changeKeys(func() { w.keys.removeAll(account) })
		return func() { w.changeKeys(func() { w.keys.rotate(account) }) }
	case changeLimits:
		w.changeKeys(func() { w.keys.changeLimit(f.pick) })
	case cutClients:
		v.front.Cut(true, f.pick%2 == 0)
		return func() { v.front.Cut(false, false) }
	case resetClients:
		v.front.Reset()
	case cutLeader:
		v.peer.Cut(true, true)
		return func() { v.peer.Cut(false, false) }
	case muteLeader:
		v.peer.Cut(false, true)
		return func() { v.peer.Cut(false, false) }
	case slowLinks:
		v.store.Delay(linkDelay)
		return func() { v.store.Delay(0) }
	case changeRunner:
		w.changeRunner(r, f.pick)
	case drainRunner:
		w.drain(r)
		return func() { w.leave(r) }
	case oddEntry:
		w.store.Put(platform.RunnerPrefix+"odd", []byte(oddEntries[f.pick%len(oddEntries)]))
		return func() { w.store.Delete(platform.RunnerPrefix + "odd") }
	}
	return nothing
}

// restartAfter ends a VM's process; the end of the fault starts it again.
func (w *world) restartAfter(v *vm, s syscall.Signal) func() {
	v.stop(s)
	return func() {
		if err := v.start(); err != nil {
			w.logf("%s does not start again: %v", v.name, err)
		}
	}
}

// span is a fault that was played; end is zero while it lasts.
type span struct {
	kind faultKind
	// target names the VM or the runner that it hit, or "store" or "runners".
	target     string
	begin, end time.Time
}

// run plays the faults of a plan, and ends each at its time. It returns when all have ended.
func (w *world) run(plan []fault) {
	begin := time.Now()
	var faults sync.WaitGroup
	for i, f := range plan {
		time.Sleep(time.Until(begin.Add(f.at)))
		if slices.Contains(w.options.SkipFaults, i) {
			continue
		}
		faults.Go(func() {
			v, r, target := w.targets(f)
			w.logf("begins: %d %s: %s", i, f.kind, target)
			n := w.beginSpan(f.kind, target)
			began := time.Now()
			unrecorded := func() {
				if f.kind.maySilenceScheduler() {
					w.fleet.CallerLost(time.Since(began) + recordDelay)
				}
			}
			unrecorded()
			end := w.inject(f, v, r)
			time.Sleep(time.Until(begin.Add(f.at + f.lasts)))
			unrecorded()
			end()
			w.endSpan(n)
			w.logf("ends: %d %s: %s", i, f.kind, target)
		})
	}
	faults.Wait()
}

func (w *world) beginSpan(kind faultKind, target string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spans = append(w.spans, span{kind: kind, target: target, begin: time.Now()})
	return len(w.spans) - 1
}

func (w *world) endSpan(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spans[n].end = time.Now()
}

// disturbed reports whether a fault was near a time that may excuse a late order: "A machine is in touch at a
// moment if for the whole `contact_timeout_ms` before it" its processes ran, the core was stable and its links were
// whole.
func (w *world) disturbed(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.spans {
		if excuse := s.kind.excuseTime(); excuse > 0 && !s.begin.After(at) && (s.end.IsZero() || s.end.Add(excuse).After(at)) {
			return true
		}
	}
	return false
}
