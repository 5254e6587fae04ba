package play

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// keyChangeEvery is the mean time between changes of keys.
	keyChangeEvery = 2 * time.Second
	// cutLead is how long before a change of keys a VM is cut off or killed at most, so that it cannot read the change.
	cutLead = time.Second
	// longCut is how long one VM is cut off from the store, which is longer than a VM that asks no other VM may take to
	// learn of a change (9 s by the users' pages), with time for several changes before that and probes after it.
	longCutAt, longCut = 3 * time.Second, 17 * time.Second
	// removeAllShare is the share of changes that remove all keys of an account.
	removeAllShare = 0.25
)

// cutFaults are the faults that keep a VM from reading a change of keys in the store.
var cutFaults = []faultKind{silenceStore, halfCutStore, silenceAll, cutLeader, muteLeader, killVM, killLeader, freezeVM}

// plan returns the faults of a run.
func (o Options) plan() []fault {
	plan := newPlan(o.Seed, o.Traffic)
	if !o.Accounts {
		return plan
	}
	keys := newKeyPlan(o.Seed, o.Traffic)
	plan = append(plan, keys[1:]...)
	plan = append(plan, newLimitPlan(o.Seed, o.Traffic)...)
	for i, f := range plan {
		// The end of another fault of the VM that is cut off for long would end the cut.
		if f.kind.stopsVM() || f.kind.cutsVM() {
			if f.pick%o.VMs == keys[0].pick%o.VMs {
				plan[i].pick++
			}
		}
	}
	plan = append(plan, keys[0])
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.at - b.at) })
	return plan
}

// newKeyPlan draws changes of API keys, each with a VM that is cut off or killed shortly before, and as the first
// fault one VM that is cut off for long. It does not change what the seed draws for a run without accounts.
func newKeyPlan(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 7))
	plan := []fault{{kind: silenceStore, at: longCutAt, lasts: longCut, pick: random.IntN(1 << 16)}}
	for at := 2 * time.Second; at < traffic; at += time.Duration(random.Int64N(2 * int64(keyChangeEvery))) {
		kind := rotateKeys
		if random.Float64() < removeAllShare {
			kind = removeKeys
		}
		lasts := time.Second + time.Duration(random.Int64N(int64(maxFaultTime)))
		plan = append(plan,
			fault{kind: cutFaults[random.IntN(len(cutFaults))], at: at - time.Duration(random.Int64N(int64(cutLead))), lasts: lasts, pick: random.IntN(1 << 16)},
			fault{kind: kind, at: at, lasts: lasts, pick: random.IntN(1 << 16)},
		)
	}
	return plan
}
