package play

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind names a fault. The values appear in reports.
type faultKind string

// The kinds of faults.
const (
	killVM       faultKind = "kill a VM"
	killLeader   faultKind = "kill the scheduler's VM"
	terminateVM  faultKind = "stop and start a VM"
	freezeVM     faultKind = "freeze a VM"
	freezeLeader faultKind = "freeze the scheduler's VM"
	silenceStore faultKind = "silence a VM's link to the store"
	halfCutStore faultKind = "hold back what the store sends to a VM"
	silenceAll   faultKind = "silence the scheduler's link to the store"
	cutRunner    faultKind = "silence a runner"
	crashRunner  faultKind = "crash a runner"
	lateWrites   faultKind = "the store does writes late"
	lostAnswers  faultKind = "the store loses answers of writes"
	storeDown    faultKind = "the store answers nobody"
	dropHistory  faultKind = "the store forgets its history"
	lateOrders   faultKind = "runners carry orders out late"
	failingRuns  faultKind = "runs fail"
	changeRoutes faultKind = "the operator removes and adds routes"
	oddEntry     faultKind = "another writer leaves an odd entry of a runner"
	cutClients   faultKind = "silence the clients' link to a VM"
	resetClients faultKind = "reset the connections of clients to a VM"
	cutLeader    faultKind = "silence the other VMs' link to the scheduler"
	muteLeader   faultKind = "hold back what the scheduler sends to the other VMs"
	slowLinks    faultKind = "delay a VM's link to the store"
	changeRunner faultKind = "a runner starts again as another kind"
	drainRunner  faultKind = "a runner drains, leaves and comes back"
	rotateKeys   faultKind = "the operator replaces a key of an account"
	removeKeys   faultKind = "the operator removes all keys of an account for a while"
	changeLimits faultKind = "the operator changes the weight and the limit of an account"
)

// allFaults are the kinds from which a seed draws; changes of keys and limits are drawn besides in a run with accounts.
var allFaults = []faultKind{
	killVM, killLeader, terminateVM, freezeVM, freezeLeader, silenceStore, halfCutStore, silenceAll, cutRunner, crashRunner,
	lateWrites, lostAnswers, storeDown, dropHistory, lateOrders, failingRuns, changeRoutes, oddEntry,
	cutClients, resetClients, cutLeader, muteLeader, slowLinks, changeRunner, drainRunner,
}

// excuseTime returns how long after its end a fault may excuse an order that comes late; 0 for faults that excuse
// none, since they touch no VM, no link and no order.
func (k faultKind) excuseTime() time.Duration {
	switch k {
	case rotateKeys, removeKeys, changeLimits, changeRoutes, oddEntry, failingRuns, crashRunner, changeRunner, drainRunner:
		return 0
	case lateOrders, lateWrites:
		return contactTime + maxDelay
	}
	return contactTime
}

// maxDelay is the longest time by which a late order or write is late.
const maxDelay = 6 * time.Second

// fault is one fault of a plan.
type fault struct {
	kind  faultKind
	at    time.Duration
	lasts time.Duration
	// pick selects the VM, runner or entry that the fault hits.
	pick int
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs: %s (%d)", f.at.Seconds(), (f.at + f.lasts).Seconds(), f.kind, f.pick)
}

const (
	// maxFaultTime is the longest duration of a fault.
	maxFaultTime = 5 * time.Second
	// faultEvery is the mean time between the beginnings of faults, so that several overlap.
	faultEvery = 1500 * time.Millisecond
	// kindsPerPlan is how many kinds of faults a plan repeats.
	kindsPerPlan = 7
)

// newPlan draws the faults of a run with some length of traffic. Few kinds come several times each, since
// the second fault of a kind meets what the first one left.
func newPlan(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 5))
	kinds := slices.Clone(allFaults)
	random.Shuffle(len(kinds), func(i, k int) { kinds[i], kinds[k] = kinds[k], kinds[i] })
	kinds = kinds[:kindsPerPlan]
	var plan []fault
	for at := time.Second; at < traffic; at += time.Duration(random.Int64N(2 * int64(faultEvery))) {
		plan = append(plan, fault{
			kind: kinds[random.IntN(len(kinds))], at: at, lasts: time.Duration(random.Int64N(int64(maxFaultTime))), pick: random.IntN(1 << 16),
		})
	}
	return plan
}
