package queue

import (
	"slices"
	"time"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/sched/quota"
)

// ClassQueue is the queue of one kind in one department.
type ClassQueue struct {
	Department string
	Kind       string
	QuotaNode  *quota.Node
	Policy     model.Policy
	// Index is the position in order of creation, the last tie-break between class
	// queues.
	Index int
	// Version is incremented when an entry or a task is queued.
	Version uint64
	// Runs holds the attempts in progress.
	Runs []*ledger.Run
	// entries holds the jobs in order of rank, starting at index head. Jobs that were
	// queued again come before all others, whatever their rank. Entries that left the
	// queue are nil, and gaps is the number of these from head on.
	entries []*Entry
	head    int
	gaps    int
}

// push inserts an entry in order of rank.
func (cq *ClassQueue) push(e *Entry) {
	e.queued = true
	cq.Version++
	at := len(cq.entries)
	for at > cq.head && (cq.entries[at-1] == nil || cq.entries[at-1].rank > e.rank) {
		at--
	}
	cq.entries = slices.Insert(cq.entries, at, e)
}

// pushFront inserts an entry before all others.
func (cq *ClassQueue) pushFront(e *Entry) {
	e.queued = true
	cq.Version++
	if cq.head > 0 {
		cq.head--
		cq.entries[cq.head] = e
		return
	}
	cq.entries = slices.Insert(cq.entries, 0, e)
}

// NextReady returns the first entry at or after position from that has a ready task,
// and its position; nil if there is none. Position 0 is the head. It removes the
// entries without a ready task that it passes.
func (cq *ClassQueue) NextReady(from int, now time.Time) (*Entry, int) {
	for at := cq.head + from; at < len(cq.entries); at++ {
		e := cq.entries[at]
		if e == nil {
			continue
		}
		if e.Peek(now) >= 0 {
			return e, at - cq.head
		}
		// Requeue or Resume queues the entry again.
		e.queued = false
		cq.entries[at] = nil
		cq.gaps++
	}
	return nil, 0
}

// Compact removes gaps. Positions from earlier calls of NextReady become invalid, so
// it is called only at the start of a scheduling round.
func (cq *ClassQueue) Compact() {
	for cq.head < len(cq.entries) && cq.entries[cq.head] == nil {
		cq.head++
		cq.gaps--
	}
	if cq.head == len(cq.entries) || cq.gaps > 32 && cq.gaps > (len(cq.entries)-cq.head)/2 || cq.head > 1024 && cq.head > len(cq.entries)/2 {
		kept := cq.entries[:0]
		for _, e := range cq.entries[cq.head:] {
			if e != nil {
				kept = append(kept, e)
			}
		}
		clear(cq.entries[len(kept):])
		cq.entries, cq.head, cq.gaps = kept, 0, 0
	}
}

// Empty reports whether no entry is queued.
func (cq *ClassQueue) Empty() bool { return len(cq.entries)-cq.head-cq.gaps <= 0 }

// OldestWait returns the time since the submission of the first ready job, zero if no
// job is ready.
func (cq *ClassQueue) OldestWait(now time.Time) time.Duration {
	e, _ := cq.NextReady(0, now)
	if e == nil {
		return 0
	}
	return now.Sub(e.Job.Submitted)
}

// AddRun records an attempt in progress.
func (cq *ClassQueue) AddRun(r *ledger.Run) {
	r.QueueRunIndex = int32(len(cq.Runs))
	cq.Runs = append(cq.Runs, r)
}

// RemoveRun removes an attempt that ended.
func (cq *ClassQueue) RemoveRun(r *ledger.Run) {
	last := cq.Runs[len(cq.Runs)-1]
	cq.Runs[r.QueueRunIndex] = last
	last.QueueRunIndex = r.QueueRunIndex
	cq.Runs[len(cq.Runs)-1] = nil
	cq.Runs = cq.Runs[:len(cq.Runs)-1]
}
