package play

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// applyBound is `configuration_apply_ms`, stretchBound `max_stretch_ms`.
	applyBound   = 3 * time.Second
	stretchBound = 6 * time.Second
	// probeEvery is the time between two calls to a VM that check a key.
	probeEvery = 100 * time.Millisecond
	// strangeShare is the share of probes with a key that was never issued, foreignShare that of probes for a job of
	// another account.
	strangeShare, foreignShare = 0.1, 0.3
	// noJobID gets 400 if the key of the call is accepted.
	noJobID = "no-id"
)

// probeKeys calls all VMs with keys that were issued, removed or never issued until done is closed.
func (c *clients) probeKeys(done <-chan struct{}) {
	var probes sync.WaitGroup
	for i, v := range c.w.vms {
		probes.Go(func() { c.probeVM(v, rand.New(rand.NewPCG(c.w.options.Seed, uint64(100+i))), done) })
	}
	probes.Wait()
}

func (c *clients) probeVM(v *vm, random *rand.Rand, done <-chan struct{}) {
	for !closed(done) {
		time.Sleep(probeEvery)
		switch x := random.Float64(); {
		case x < strangeShare:
			c.probeStranger(v, random)
		case x < strangeShare+foreignShare:
			c.probeForeignJob(v, random)
		default:
			c.probeKey(v, random.IntN(1<<16))
		}
	}
}

// probeStranger checks: "No call with a key that was never in any configuration may succeed."
func (c *clients) probeStranger(v *vm, random *rand.Rand) {
	key := fmt.Sprintf("%s-%s-%d", keyPrefix, accountNames[0], -1-random.IntN(1000))
	if status, _ := c.callWithKey(v, http.MethodGet, &job{id: noJobID, queue: plainQueue}, nil, key); status == http.StatusBadRequest {
		c.w.checker.report("KEYS", "%s accepts a key that was never issued", v.name)
	}
}

// probeForeignJob checks: "To another account's key, the id reads as if the job did not exist".
func (c *clients) probeForeignJob(v *vm, random *rand.Rand) {
	all := c.w.jobs.all()
	if len(all) == 0 {
		return
	}
	j := all[random.IntN(len(all))]
	j.mu.Lock()
	accepted := j.accepted
	j.mu.Unlock()
	stranger := accountNames[random.IntN(len(accountNames))]
	if !accepted || stranger == accountOf(j.id) {
		return
	}
	if status, _ := c.callWithKey(v, http.MethodGet, &job{id: j.id, queue: plainQueue}, nil, c.w.keys.current(stranger)); status == http.StatusOK {
		c.w.checker.report("KEYS", "%s shows the account %s job %s of the account %s", v.name, stranger, j.id, accountOf(j.id))
	}
}

// probeKey checks: "Keys that a version removes stop working, and keys that it adds start working, at most
// `configuration_apply_ms` (3 s) after the store has acknowledged the version; on a VM that the store refuses, the bound
// is longer by at most `max_stretch_ms` (6 s)."
func (c *clients) probeKey(v *vm, n int) {
	before := c.w.keys.at(n)
	sent := time.Now()
	status, _ := c.callWithKey(v, http.MethodGet, &job{id: noJobID, queue: plainQueue}, nil, before.value)
	after := c.w.keys.find(before.value)
	switch {
	case status == http.StatusBadRequest && !before.removed.IsZero():
		if late := c.w.lateness(v.name, before.removed, sent); late > 0 {
			c.w.checker.report("KEYS", "%s accepts %s %v after it was removed, %v too late", v.name, before.value, sent.Sub(before.removed), late)
		}
	case status == http.StatusUnauthorized && after.listed && !before.added.IsZero():
		if late := c.w.lateness(v.name, before.added, sent); late > 0 {
			c.w.checker.report("KEYS", "%s refuses %s %v after it was added, %v too late", v.name, before.value, sent.Sub(before.added), late)
		}
	}
}

// latenessStep is the length of the pieces of time that lateness looks at.
const latenessStep = 100 * time.Millisecond

// lateness returns how much later than allowed a call to a VM was sent at which the VM did not know a change of keys yet;
// the call has ended. Time in which the VM did not run, or no VM reached the store, does not count.
func (w *world) lateness(vm string, changed, sent time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lost, cut time.Duration
	for at := changed; at.Before(time.Now()); at = at.Add(latenessStep) {
		switch {
		case w.hitAt(at, vm, faultKind.stopsVM) || w.storeOutOfReach(at):
			lost += latenessStep
		case w.hitAt(at, vm, faultKind.cutsVM):
			cut += latenessStep
		}
	}
	return sent.Sub(changed) - applyBound - lost - min(cut, stretchBound)
}

// hitAt reports whether a fault of some kinds was played on a target at a time. The caller holds w.mu.
func (w *world) hitAt(at time.Time, target string, kinds func(faultKind) bool) bool {
	return slices.ContainsFunc(w.spans, func(s span) bool {
		return s.target == target && kinds(s.kind) && !s.begin.After(at) && (s.end.IsZero() || s.end.After(at))
	})
}

// storeOutOfReach reports whether no VM reached the store at a time. The caller holds w.mu.
func (w *world) storeOutOfReach(at time.Time) bool {
	return w.hitAt(at, "store", func(k faultKind) bool { return k == storeDown }) || !slices.ContainsFunc(w.vms, func(v *vm) bool {
		return !w.hitAt(at, v.name, faultKind.stopsVM) && !w.hitAt(at, v.name, faultKind.cutsVM)
	})
}

// stopsVM reports whether a VM does not run while the fault lasts.
func (k faultKind) stopsVM() bool {
	switch k {
	case killVM, killLeader, terminateVM, freezeVM, freezeLeader:
		return true
	default:
		return false
	}
}

// cutsVM reports whether a VM is cut off from the store or from other VMs while the fault lasts.
func (k faultKind) cutsVM() bool {
	switch k {
	case silenceStore, silenceAll, halfCutStore, slowLinks, cutLeader, muteLeader:
		return true
	default:
		return false
	}
}

// loggedKeys returns a line for each VM that has logged an API key.
func (c *clients) loggedKeys() []string {
	var out []string
	for _, v := range c.w.vms {
		for _, line := range v.logLines() {
			if strings.Contains(line, keyPrefix) {
				out = append(out, "KEYS: "+v.name+" has logged a key: "+line)
				break
			}
		}
	}
	return out
}
