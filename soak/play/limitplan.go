package play

import (
	"math/rand/v2"
	"time"

	"rhubarbstall.example/standin/cellrunner"
)

const (
	// limitChangeEvery is the mean time between changes of the weights and limits of an account.
	limitChangeEvery = 2 * time.Second
	// killShare is the share of these changes after which the scheduler's VM is killed, killWithin how long after them at most:
	// the next scheduler may know the older version only.
	killShare  = 0.3
	killWithin = time.Second
	// The limits lie between minLimit, which holds each gang that newStep draws, and maxLimit, which no version exceeds, so that
	// it holds for starts of any age.
	minLimit, maxLimit = 10_000, 16_000
	// The weights lie between minWeight, which is below the rate at which an account submits, and maxWeight.
	minWeight, maxWeight = 2, 100
)

// accountPolicy is what the operator's configuration says of an account besides its keys. A limit of 0 is none.
type accountPolicy struct {
	weight, limitMilliCPU int
}

// newLimitPlan draws changes of the weights and limits of accounts, some with a kill of the scheduler's VM shortly after.
func newLimitPlan(seed uint64, traffic time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 8))
	var plan []fault
	for at := time.Second; at < traffic; at += time.Duration(random.Int64N(2 * int64(limitChangeEvery))) {
		plan = append(plan, fault{kind: changeLimits, at: at, pick: random.IntN(1 << 16)})
		if random.Float64() < killShare {
			lasts := time.Second + time.Duration(random.Int64N(int64(maxFaultTime)))
			plan = append(plan, fault{kind: killLeader, at: at + time.Duration(random.Int64N(int64(killWithin))), lasts: lasts, pick: random.IntN(1 << 16)})
		}
	}
	return plan
}

// changeLimit draws the weight and the limit of an account.
func (r *keyring) changeLimit(pick int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	random := rand.New(rand.NewPCG(uint64(pick), 9))
	r.policies[accountNames[pick%len(accountNames)]] = accountPolicy{minWeight + random.IntN(maxWeight-minWeight+1), minLimit + random.IntN(maxLimit-minLimit+1)}
}

// liftLimits removes the limits of all accounts and gives them the same weight.
func (r *keyring) liftLimits() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range accountNames {
		r.policies[name] = accountPolicy{weight: maxWeight}
	}
}

// checkLimits makes it a violation if an account occupies more than maxLimit.
func (w *world) checkLimits() {
	w.fleet.LimitAccount(cellrunner.Size{MilliCPU: maxLimit}, func(task string) string {
		if name, ok := parseTask(task); ok {
			return accountOf(name.job)
		}
		return ""
	})
}

// liftLimits removes all limits: work that a limit held back has to end in the time that is stated for all work.
func (w *world) liftLimits() {
	w.fleet.LimitAccount(cellrunner.Size{}, func(string) string { return "" })
	w.changeKeys(w.keys.liftLimits)
}
