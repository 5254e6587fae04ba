package quorum

import (
	"fmt"
	"slices"
	"time"
)

// restartSilence is the time in which a restarted worker grants no lease.
const restartSilence = 10 * time.Second

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// cutSome cuts a candidate from a random part of the voters.
func (w *world) cutSome(c *candidate) {
	share := w.intn(4)
	clear(c.cut)
	c.cut[Platform] = w.intn(4) < share
	for _, id := range w.sortedVoters() {
		c.cut[id] = w.intn(4) < share
	}
}

// split lets each voter be reached by one candidate only.
func (w *world) split() {
	reach := func(id string) {
		to := w.intn(len(w.candidates))
		for _, c := range w.candidates {
			c.cut[id] = c.id != to
		}
	}
	reach(Platform)
	for _, id := range w.sortedVoters() {
		reach(id)
	}
}

// splitByAge lets one candidate reach the workers of now, and another one the
// platform and several workers that join. The first one has an old roster soon.
func (w *world) splitByAge() {
	old := w.sortedVoters()
	one, other := w.intn(len(w.candidates)), w.intn(len(w.candidates))
	for range 4 + w.intn(6) {
		w.join()
	}
	for _, c := range w.candidates {
		clear(c.cut)
		c.cut[Platform] = c.id != other
		for _, id := range w.sortedVoters() {
			_, isOld := slices.BinarySearch(old, id)
			c.cut[id] = isOld && c.id != one || !isOld && c.id != other
		}
	}
}

func (w *world) sortedVoters() []string {
	ids := make([]string, 0, len(w.voters))
	for id := range w.voters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) changeWanted() {
	if w.intn(2) == 0 && len(w.wanted) > 2 {
		i := w.intn(len(w.wanted))
		w.wanted = slices.Delete(slices.Clone(w.wanted), i, i+1)
		return
	}
	w.join()
}

func (w *world) join() {
	id := fmt.Sprintf("w%03d", w.joined)
	w.joined++
	w.addVoter(id)
	w.wanted = append(slices.Clone(w.wanted), id)
}

// restartSome restarts some workers, which forget their owner and its epoch.
func (w *world) restartSome() {
	for _, id := range w.sortedVoters() {
		if w.intn(4) == 0 {
			v := w.voters[id]
			v.owner, v.epoch, v.until = -1, 0, 0
			v.starts++
			v.silent = w.now + time.Duration(float64(restartSilence)/v.rate)
		}
	}
}

// leaseLapsed is the time after which no lease of a removed worker counts: the
// longest lease on the slowest clock.
const leaseLapsed = 4 * time.Second

// removeSome removes some workers for good, as a failed rack or zone does.
func (w *world) removeSome() {
	share := 1 + w.intn(4)
	for _, id := range w.sortedVoters() {
		v := w.voters[id]
		if v.removedAt == 0 && w.intn(4) < share {
			v.removedAt = w.now
			w.wanted = slices.DeleteFunc(slices.Clone(w.wanted), func(o string) bool { return o == id })
		}
	}
	for range w.intn(4) {
		w.join()
	}
}

// gone returns the workers that a candidate knows to be gone.
func (w *world) gone(c *candidate) map[string]bool {
	wait := leaseLapsed + c.listLag
	if w.mut.goneAtOnce {
		wait = 0
	}
	gone := make(map[string]bool)
	for id, v := range w.voters {
		if v.removedAt > 0 && w.now-v.removedAt >= wait {
			gone[id] = true
		}
	}
	return gone
}
