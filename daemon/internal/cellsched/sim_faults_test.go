package cellsched

import (
	"fmt"
	"os"
	"time"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/standin/cellrunner"
	"rhubarbstall.example/standin/cellstore"
)

// startFault starts a random fault and returns the function that ends it. The seeds of earlier
// failures depend on the numbers of the cases.
func (s *sim) startFault() func() {
	kind := s.random.IntN(13)
	if len(s.faultKinds) > 0 {
		kind = s.faultKinds[s.random.IntN(len(s.faultKinds))]
	}
	switch kind {
	case 0:
		s.kill(s.randomVM())
	case 1:
		if l := s.leader(); l != nil {
			s.kill(l)
		}
	case 2:
		if l := s.leader(); l != nil {
			s.setPartitionedFrom(l, true, simStore)
			return func() { s.setPartitionedFrom(l, false, simStore) }
		}
	case 3:
		s.store.SetFaults(cellstore.Faults{LostResponseRate: 0.3, DelayedWriteRate: 0.2})
		return func() { s.store.SetFaults(cellstore.Faults{}) }
	case 4:
		s.store.SetFaults(cellstore.Faults{NoResponseRate: 1})
		return func() { s.store.SetFaults(cellstore.Faults{}) }
	case 5:
		s.fleet.SetFaults(cellrunner.Faults{LostResponseRate: 0.1, DelayRate: 0.2, RunFailureRate: 0.05, RefusedStarts: simRefusedStarts()})
		return func() { s.fleet.SetFaults(cellrunner.Faults{RefusedStarts: simRefusedStarts()}) }
	case 6:
		vm, r := s.randomVM(), runnerAddr(s.random.IntN(simRunners))
		s.setPartitionedFrom(vm, true, r)
		return func() { s.setPartitionedFrom(vm, false, r) }
	case 7:
		s.store.DropHistory()
	case 8:
		s.crashRunner(s.random.IntN(simRunners))
	case 9:
		if s.removedRunners == 0 {
			s.removeRunner(s.random.IntN(simRunners))
		}
	case 12:
		// The leader's record is deleted while the leader continues to work.
		s.store.Delete("lead/holder")
	case 11:
		// A runner's entry expires while the store is unavailable, and returns later.
		s.store.SetFaults(cellstore.Faults{NoResponseRate: 1})
		i := s.random.IntN(simRunners)
		entry := s.store.Value(platform.RunnerPrefix + s.runners[i].ID)
		s.store.Delete(platform.RunnerPrefix + s.runners[i].ID)
		if l := s.leader(); l != nil {
			s.kill(l)
		}
		return func() {
			s.store.SetFaults(cellstore.Faults{})
			time.Sleep(2 * time.Second)
			if entry != nil && s.runners[i] != s.removedRunner {
				s.store.Put(platform.RunnerPrefix+s.runners[i].ID, entry)
			}
		}
	case restartBeforeCutFault:
		s.restartAndCutRunners()
	case 10:
		for _, vm := range s.liveVMs() {
			s.kill(vm)
		}
	}
	return func() {}
}

// simRefusedStarts reports whether runners execute late starts of a lost scheduler of which an earlier incarnation was made
// to refuse them. Work that runs twice because of them is not prevented; see KNOWN-RED.txt.
func simRefusedStarts() bool { return os.Getenv("SIM_REFUSED_STARTS") != "" }

// crashRunner restarts a runner, which loses its runs and its memory of them.
func (s *sim) crashRunner(i int) {
	r := s.runners[i]
	s.fleet.Crash(r)
	if r != s.removedRunner {
		s.store.Put(platform.RunnerPrefix+r.ID, s.fleet.RunnerRecord(r, simPool, runnerAddr(i), "ready"))
	}
}

// restartAndCutRunners restarts some runners while calls to them are late, and cuts them off from all VMs soon after and
// for a while, with a change of the leader in between in half of the cases.
func (s *sim) restartAndCutRunners() {
	s.fleet.SetFaults(cellrunner.Faults{LostResponseRate: 0.1, DelayRate: 0.25, RefusedStarts: simRefusedStarts()})
	time.Sleep(time.Duration(500+s.random.IntN(1500)) * time.Millisecond)
	first, n := s.random.IntN(simRunners), 1+s.random.IntN(3)
	for i := range n {
		s.crashRunner((first + i) % simRunners)
	}
	if s.random.IntN(2) == 0 {
		if l := s.leader(); l != nil {
			s.kill(l)
		}
	}
	time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
	eachPair := func(change func(vm, runner string)) {
		for i := range n {
			for vm := range maxSimVMs {
				change(fmt.Sprintf("vm%d", vm+1), runnerAddr((first+i)%simRunners))
			}
		}
	}
	eachPair(s.net.Cut)
	s.fleet.SetFaults(cellrunner.Faults{RefusedStarts: simRefusedStarts()})
	time.AfterFunc(time.Duration(5+s.random.IntN(22))*time.Second, func() { eachPair(s.net.Heal) })
}

// removeRunner removes a runner permanently.
func (s *sim) removeRunner(i int) {
	s.removedRunners++
	s.removedRunner = s.runners[i]
	s.fleet.Remove(s.removedRunner)
	s.store.Delete(platform.RunnerPrefix + s.removedRunner.ID)
	_ = s.servers[i+1].Close()
}
