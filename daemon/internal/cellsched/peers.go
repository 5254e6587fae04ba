package cellsched

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/sched/cell"
)

// Methods of the scheduler that peers call.
const (
	methodSubmit  = "cell.submit"
	methodPut     = "cell.put"
	methodState   = "cell.state"
	methodCancel  = "cell.cancel"
	methodPending = "cell.pending"
	methodAdvice  = "cell.advice"
	methodAdvised = "cell.advised"
)

// ErrNoScheduler means that no scheduler is known or reached.
var ErrNoScheduler = errors.New("no scheduler reached")

type idArgs struct {
	ID string `json:"id"`
}

type stateReply struct {
	Known bool          `json:"known"`
	State cell.JobState `json:"state"`
}

type pendingArgs struct {
	Queue string `json:"queue"`
}

type pendingReply struct {
	Count int  `json:"count"`
	Ready bool `json:"ready"`
}

type adviceArgs struct {
	VM string `json:"vm"`
}

type adviceReply struct {
	Task  AdviceTask `json:"task"`
	Given bool       `json:"given"`
}

type putReply struct {
	Outcome PutOutcome `json:"outcome"`
}

type none struct{}

// Register offers the scheduler of this VM to its peers.
func Register(server *peer.Server, h *Holder) {
	local := &Client{holder: h}
	peer.Handle(server, methodSubmit, func(ctx context.Context, _ string, a *Submission) (*none, error) {
		return &none{}, local.withLocal(func(s *Scheduler) error { return s.Submit(*a) })
	})
	peer.Handle(server, methodPut, func(ctx context.Context, _ string, a *Submission) (*putReply, error) {
		r := &putReply{Outcome: PutNot}
		return r, local.withLocal(func(s *Scheduler) (err error) {
			callCtx, cancel := context.WithTimeout(ctx, s.set.storeLimit())
			r.Outcome, err = Put(callCtx, s.store, *a)
			cancel()
			switch r.Outcome {
			case PutNot:
				return err
			case PutOpen:
				return nil
			}
			// The outcome has to reach the caller, which an error would hide; a job that
			// is not taken up here is found in the store.
			if submitErr := s.Submit(*a); submitErr != nil {
				s.log.Info("[sched] job left to the watch", zap.String("job", a.ID), zap.Error(submitErr))
			}
			return nil
		})
	})
	peer.Handle(server, methodState, func(_ context.Context, _ string, a *idArgs) (*stateReply, error) {
		r := &stateReply{}
		return r, local.withLocal(func(s *Scheduler) error { r.State, r.Known = s.State(a.ID); return nil })
	})
	peer.Handle(server, methodCancel, func(ctx context.Context, _ string, a *idArgs) (*stateReply, error) {
		r := &stateReply{}
		return r, local.withLocal(func(s *Scheduler) (err error) { r.Known, err = s.Cancel(ctx, a.ID); return err })
	})
	peer.Handle(server, methodPending, func(_ context.Context, _ string, a *pendingArgs) (*pendingReply, error) {
		r := &pendingReply{}
		return r, local.withLocal(func(s *Scheduler) error { r.Count, r.Ready = s.Pending(a.Queue); return nil })
	})
	peer.Handle(server, methodAdvice, func(ctx context.Context, _ string, a *adviceArgs) (*adviceReply, error) {
		r := &adviceReply{}
		return r, local.withLocal(func(s *Scheduler) error { r.Task, r.Given = s.NextAdvice(ctx, a.VM); return nil })
	})
	peer.Handle(server, methodAdvised, func(_ context.Context, _ string, a *AdviceAnswer) (*none, error) {
		return &none{}, local.withLocal(func(s *Scheduler) error { s.Advised(*a); return nil })
	})
}

// Client reaches the scheduler of the cell, on this VM or another.
type Client struct {
	holder  *Holder
	elector *election.Elector
	peers   *peer.Client
	vm      string
}

// NewClient returns a client for the VM named vm.
func NewClient(vm string, h *Holder, e *election.Elector, peers *peer.Client) *Client {
	return &Client{holder: h, elector: e, peers: peers, vm: vm}
}

func (c *Client) withLocal(f func(*Scheduler) error) error {
	s := c.holder.Current()
	if s == nil {
		return codes.NoZoneScheduler.Errorf("this VM does not schedule")
	}
	return f(s)
}

// remote calls the scheduler of another VM. A connection without an answer is
// replaced, since it may have gone silent.
func remote[A, R any](ctx context.Context, c *Client, method string, args *A) (*R, error) {
	to := c.elector.Current()
	if to.Addr == "" || to.VM == c.vm {
		return nil, ErrNoScheduler
	}
	r, err := peer.Call[A, R](ctx, c.peers, to.Addr, method, args)
	if errors.Is(err, peer.ErrNoReply) && !errors.Is(ctx.Err(), context.Canceled) {
		c.peers.Reset(to.Addr)
	}
	return r, err
}

// Submit passes an accepted job on.
func (c *Client) Submit(ctx context.Context, sub Submission) error {
	if s := c.holder.Current(); s != nil {
		return s.Submit(sub)
	}
	_, err := remote[Submission, none](ctx, c, methodSubmit, &sub)
	return err
}

// PutThere lets the scheduler's VM store a job, for a VM that does not reach the store.
func (c *Client) PutThere(ctx context.Context, sub Submission) (PutOutcome, error) {
	r, err := remote[Submission, putReply](ctx, c, methodPut, &sub)
	switch {
	case err == nil:
		return r.Outcome, nil
	case errors.Is(err, peer.ErrNoReply):
		return PutOpen, err
	}
	return PutNot, err
}

// State returns the stored state of a job; false if the scheduler does not know it.
func (c *Client) State(ctx context.Context, id string) (cell.JobState, bool, error) {
	if s := c.holder.Current(); s != nil {
		state, ok := s.State(id)
		return state, ok, nil
	}
	r, err := remote[idArgs, stateReply](ctx, c, methodState, &idArgs{id})
	if err != nil {
		return "", false, err
	}
	return r.State, r.Known, nil
}

// Cancel ends a job and returns once that is stored; false if the scheduler does
// not know the job.
func (c *Client) Cancel(ctx context.Context, id string) (bool, error) {
	if s := c.holder.Current(); s != nil {
		return s.Cancel(ctx, id)
	}
	r, err := remote[idArgs, stateReply](ctx, c, methodCancel, &idArgs{id})
	if err != nil {
		return false, err
	}
	return r.Known, nil
}

// Pending returns the number of a queue's jobs of which nothing has started.
func (c *Client) Pending(ctx context.Context, queue string) (int, error) {
	r := &pendingReply{}
	if s := c.holder.Current(); s != nil {
		r.Count, r.Ready = s.Pending(queue)
	} else {
		var err error
		if r, err = remote[pendingArgs, pendingReply](ctx, c, methodPending, &pendingArgs{queue}); err != nil {
			return 0, err
		}
	}
	if !r.Ready {
		return 0, ErrNoScheduler
	}
	return r.Count, nil
}

// adviceWait bounds one wait for a call to make.
const adviceWait = time.Second

// nextAdvice waits for a call to the advisor that this VM is to make.
func (c *Client) nextAdvice(ctx context.Context) (AdviceTask, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, adviceWait)
	defer cancel()
	if s := c.holder.Current(); s != nil {
		task, ok := s.NextAdvice(ctx, c.vm)
		return task, ok, nil
	}
	// The answer of a peer has to arrive within the time that it waits.
	outer, cancelOuter := context.WithTimeout(context.WithoutCancel(ctx), adviceWait)
	defer cancelOuter()
	r, err := remote[adviceArgs, adviceReply](outer, c, methodAdvice, &adviceArgs{c.vm})
	if err != nil {
		return AdviceTask{}, false, err
	}
	return r.Task, r.Given, nil
}

func (c *Client) advised(ctx context.Context, a AdviceAnswer) error {
	if s := c.holder.Current(); s != nil {
		s.Advised(a)
		return nil
	}
	_, err := remote[AdviceAnswer, none](ctx, c, methodAdvised, &a)
	return err
}
