package cellsched

import (
	"context"
	"sync"

	"rhubarbstall.example/sched/cell"
)

// LocalScheduler holds the scheduler that runs on this VM while the VM is the leader. It is
// safe for concurrent use.
type LocalScheduler struct {
	mu        sync.Mutex
	scheduler *Scheduler
	queues    []cell.Queue
	accounts  []cell.ClientAccount
	// version is that of the configuration with the queues and accounts.
	version int64
	// peerCalls counts the calls of other VMs by method, shedCalls those of them that were refused
	// because the process was short of processor time.
	peerCalls, shedCalls countsByName
}

// Run runs s, and makes it the current scheduler until it returns.
func (h *LocalScheduler) Run(ctx context.Context, s *Scheduler) {
	h.setCurrent(s)
	s.Run(ctx)
	h.setCurrent(nil)
}

// setCurrent makes s the current scheduler; nil for none.
func (h *LocalScheduler) setCurrent(s *Scheduler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduler = s
	if s != nil {
		s.peerCalls, s.shedCalls = &h.peerCalls, &h.shedCalls
		s.Configure(h.version, h.queues, h.accounts)
	}
}

// Current returns the scheduler that runs on this VM, or nil.
func (h *LocalScheduler) Current() *Scheduler {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scheduler
}

// Configure applies the queues and client accounts of a version of the configuration to the current scheduler and to
// those of later terms.
func (h *LocalScheduler) Configure(version int64, queues []cell.Queue, accounts []cell.ClientAccount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.queues, h.accounts = version, queues, accounts
	if h.scheduler != nil {
		h.scheduler.Configure(version, queues, accounts)
	}
}

// queue returns the configuration of a queue; false if there is no such queue.
func (h *LocalScheduler) queue(name string) (cell.Queue, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.queues {
		if h.queues[i].Name == name {
			return h.queues[i], true
		}
	}
	return cell.Queue{}, false
}
