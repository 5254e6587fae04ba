package relay

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an order that reaches a runner seconds after the scheduler checked it, because its batch was
// held up in the network.
func TestBatchThatArrivesLateStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		x := f.relayOf("r1")
		f.set(x, func(x *relayVM) { x.requestDelay = 3 * time.Second })
		err := f.startTask("r1", 1)
		must.ErrorIs(t, err, ErrLost)
		must.False(t, errors.Is(err, ErrNotPassedOn), must.Sprint("the batch may have arrived"))
		time.Sleep(10 * time.Second)
		must.Eq(t, 0, x.runners.startCount())
	})
}

// Guards against a relay that was suspended and makes calls of before when it wakes.
func TestSuspendedRelayStartsNothingWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		x := f.relayOf("r1")
		f.set(x, func(x *relayVM) { x.suspended = 5 * time.Second })
		must.ErrorIs(t, f.startTask("r1", 1), ErrNotPassedOn)
		must.Eq(t, 0, x.runners.startCount())
	})
}

// Guards against orders that are refused because the clocks of the VMs differ.
func TestClocksOfVMsMayDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		for i := range 20 {
			must.NoError(t, f.startTask(fmt.Sprintf("r%d", i), i))
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// Guards against a process that makes calls which were meant for the one before it.
func TestRestartedRelayMakesNoCallsOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		x := f.relayOf("r1")
		f.set(x, func(x *relayVM) { x.server = f.newVM(x.vm.Name).server })
		must.ErrorIs(t, f.startTask("r1", 1), ErrLost)
		must.Eq(t, 0, x.runners.startCount())
	})
}

// Guards against calls that wait long for a relay that is gone, against runners without a relay after its
// loss, and against a loss that affects runners of other relays.
func TestLossOfARelayMovesItsRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		defer f.close()
		lost := f.relayOf("r1")
		other := ""
		for i := 2; other == ""; i++ {
			if id := fmt.Sprintf("r%d", i); f.relayOf(id) != lost {
				other = id
			}
		}
		keeps := f.relayOf(other)
		f.set(lost, func(x *relayVM) { x.down = true })
		begin := time.Now()
		must.ErrorIs(t, f.startTask("r1", 1), ErrLost)
		must.LessEq(t, silenceLimit+holdLimit, time.Since(begin))
		time.Sleep(2 * updateInterval)
		must.NoError(t, f.startTask("r1", 2))
		must.True(t, f.relayOf("r1") != lost)
		must.True(t, f.relayOf(other) == keeps)
		must.NoError(t, f.startTask(other, 3))
		must.Eq(t, 0, f.direct.startCount())
		must.Len(t, minRelaysInFixture, f.pool.Names())
	})
}

// Guards against a scheduler that reaches no runner because it reaches no other VM.
func TestCallsAreMadeDirectlyWithoutRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		for _, x := range f.vms {
			f.set(x, func(x *relayVM) { x.down = true })
		}
		time.Sleep(silenceLimit + 2*watchInterval)
		must.ErrorIs(t, f.startTask("r1", 1), ErrNotPassedOn, must.Sprint("a new relay is awaited"))
		time.Sleep(directAfter)
		must.NoError(t, f.startTask("r1", 1))
		must.Eq(t, 1, f.direct.startCount())
		for _, x := range f.vms {
			f.set(x, func(x *relayVM) { x.down = false })
		}
		time.Sleep(maxExclusion + time.Second)
		must.NoError(t, f.startTask("r1", 2))
		must.Eq(t, 1, f.direct.startCount())
	})
}

// Guards against calls that are lost when a VM with a relay shuts down in an orderly way.
func TestRelayThatLeavesLosesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		defer f.close()
		leaving := f.relayOf("r1")
		var calls sync.WaitGroup
		for i := range 2000 {
			if i == 500 {
				leaving.server.Leave()
			}
			calls.Go(func() { must.NoError(t, f.startTask(fmt.Sprintf("r%d", i%fixtureRunners), i)) })
			time.Sleep(time.Millisecond)
		}
		calls.Wait()
		must.True(t, f.relayOf("r1") != leaving)
		must.SliceNotContains(t, f.pool.Names(), leaving.vm.Name)
	})
}

// Guards against orders that wait for a batch and are sent although the term may be over meanwhile.
func TestQueuedCallsAreNotSentAfterTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		f.mu.Lock()
		f.expired = true
		f.mu.Unlock()
		must.ErrorIs(t, f.startTask("r1", 1), ErrNotPassedOn)
		must.Eq(t, 0, f.vms[0].runners.startCount()+f.vms[1].runners.startCount())
	})
}
