package cellsched

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/peer"
)

// ErrNoProxy means that this VM knows no other VM that could store a job for it.
var ErrNoProxy = errors.New("no other VM is known that could store the job")

type putReply struct {
	Outcome PutOutcome `json:"outcome"`
	// StoreUnreachable tells that the VM that was asked cannot reach the store either.
	StoreUnreachable bool `json:"away"`
}

// putForPeer stores a job for a VM that cannot reach the store.
func (c *Client) putForPeer(ctx context.Context, sub Submission) (*putReply, error) {
	if c.storeUnreachable() {
		return &putReply{Outcome: PutNotStored, StoreUnreachable: true}, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, c.storeTimeout())
	outcome, err := PutJob(callCtx, c.store, sub)
	cancel()
	c.log.Info("[peers] write of a job for another VM finished", zap.String("job", sub.ID), zap.Int("outcome", int(outcome)), zap.Error(err))
	if s := c.local.Current(); s != nil && outcome == PutStored {
		// If this fails, the scheduler finds the job through its watch of the store.
		if err := s.Submit(sub); err != nil {
			c.log.Info("[peers] job not passed to the scheduler; its watch will find it", zap.String("job", sub.ID), zap.Error(err))
		}
	}
	return &putReply{Outcome: outcome}, nil
}

// proxyCandidate returns the n-th VM to ask to store a job: first the scheduler's VM, then the
// others, and then these again. It returns false if no other VM is known.
func (c *Client) proxyCandidate(n int) (VMAddr, bool) {
	var all []VMAddr
	holder := c.elector.Current()
	if holder.Addr != "" && holder.VM != c.vm {
		all = append(all, VMAddr{VM: holder.VM, Addr: holder.Addr})
	}
	for _, a := range c.directory.ProxyCandidates(time.Now()) {
		if a.VM != holder.VM {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return VMAddr{}, false
	}
	return all[n%len(all)], true
}

// PutJobThroughPeer asks another VM to store a job while this VM cannot reach the store.
// Successive values of n select different VMs.
func (c *Client) PutJobThroughPeer(ctx context.Context, sub Submission, n int) (PutOutcome, error) {
	to, ok := c.proxyCandidate(n)
	if !ok {
		return PutNotStored, ErrNoProxy
	}
	r, err := peer.Call[Submission, putReply](ctx, c.peers, to.Addr, methodPut, &sub)
	switch {
	case err == nil:
		c.directory.RecordContact(time.Now(), to, r.StoreUnreachable)
		return r.Outcome, nil
	case errors.Is(err, peer.ErrNoReply):
		c.peers.CloseIfSilent(to.Addr, silentConnectionTimeout)
		c.directory.RecordContact(time.Now(), to, true)
		return PutUnknown, err
	case codes.Of(err) == codes.Internal && !errors.Is(err, peer.ErrNotSent):
		// The method failed unexpectedly, perhaps after its write.
		return PutUnknown, err
	}
	c.directory.RecordContact(time.Now(), to, true)
	return PutNotStored, err
}
