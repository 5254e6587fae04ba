package play

import (
	"sync"
	"syscall"
	"time"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/standin/cellrunner"
	"rhubarbstall.example/standin/cellstore"
)

// lateShare is the share of calls that a fault of the store or of runners hits.
const lateShare = 0.33

// oddEntries are entries of another writer among those of the runners.
var oddEntries = []string{
	`{"service":"other","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":8000}}`,
	`{"service":"pool","address":"127.0.0.1:70000","state":"ready"}`,
	`{"service":"pool","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":1e300}}`,
	`[[[[[[`,
}

// inject begins a fault, and returns what ends it.
func (w *world) inject(f fault) (end func()) {
	v := w.vms[f.pick%len(w.vms)]
	r := w.runners[f.pick%len(w.runners)]
	switch f.kind {
	case killLeader, freezeLeader, silenceAll:
		v = w.leader(f.pick)
	}
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

// run plays the faults of a plan, and ends each at its time. It returns when all have ended.
func (w *world) run(plan []fault) {
	begin := time.Now()
	var faults sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(begin.Add(f.at)))
		faults.Go(func() {
			w.logf("begins: %s (%d)", f.kind, f.pick)
			end := w.inject(f)
			time.Sleep(time.Until(begin.Add(f.at + f.lasts)))
			end()
			w.logf("ends: %s (%d)", f.kind, f.pick)
		})
	}
	faults.Wait()
}
