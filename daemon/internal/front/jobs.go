package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/cellsched"
	"rhubarbstall.example/daemon/internal/storehealth"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
)

const (
	// putTimeout limits one attempt to store a job, so that several attempts fit into a
	// client's timeout.
	putTimeout = 600 * time.Millisecond
	// vmAttempts is the number of VMs that a client can try within its timeout: each VM
	// uses at most 1/vmAttempts of it.
	vmAttempts = 3
	// maxProxyPuts is how many other VMs a VM that cannot reach the store asks to store a
	// job. If that many fail, the store is probably unreachable for all VMs.
	maxProxyPuts = 3
	// retryInterval is the time between attempts.
	retryInterval = 60 * time.Millisecond
	// schedulerTimeout limits a call to the scheduler, so that time is left to ask the store
	// instead.
	schedulerTimeout = 700 * time.Millisecond
	// cancelTimeout limits the wait for the scheduler to store a cancellation.
	cancelTimeout = 1200 * time.Millisecond
	// submitTimeout limits the call that passes an accepted job to the scheduler. If it
	// fails, the scheduler finds the job by watching the store.
	submitTimeout = 2 * time.Second
)

// JobService submits jobs, returns their states and cancels them.
type JobService struct {
	store        *platform.Store
	health       *storehealth.Tracker
	storeTimeout *storehealth.AdaptiveTimeout
	sched        *cellsched.Client
	log          *zap.Logger
}

// NewJobService returns a service that uses the store and the scheduler. storeTimeout
// gives the timeout of each store call.
func NewJobService(store *platform.Store, health *storehealth.Tracker, storeTimeout *storehealth.AdaptiveTimeout, sched *cellsched.Client, log *zap.Logger) *JobService {
	return &JobService{store: store, health: health, storeTimeout: storeTimeout, sched: sched, log: log}
}

// Submit stores a job and passes it to the scheduler. The error OutcomeUnknown means that
// the job may have been stored or may still be; any other error means that it has not been
// stored and will not be.
func (j *JobService) Submit(ctx context.Context, from requester, id string, h cellsched.JobHeader, body []byte) error {
	if rejected := j.sched.CheckAdmission(time.Now(), id, &h, body); rejected != nil {
		if err, known := j.reject(ctx, from, id, rejected); known {
			return err
		}
		// It is unknown whether the job was accepted before; storing it again is safe.
	}
	value, err := cellsched.EncodeJob(h, body)
	if err != nil {
		return codes.Internal.Errorf("cannot encode the job: %w", err)
	}
	sub := cellsched.Submission{ID: id, Value: value}
	if err := j.put(ctx, sub); err != nil {
		return err
	}
	go j.passToScheduler(sub)
	return nil
}

// reject returns the answer to a submission that is to be rejected: success if the job was accepted before, since the
// client must not be told then that it does not run. It returns false if it is not known whether it was accepted.
func (j *JobService) reject(ctx context.Context, from requester, id string, rejected error) (answer error, known bool) {
	switch found, _ := j.lookUpQuickly(ctx, from, id); found {
	case accessible:
		return nil, true
	case foreign:
		return idTaken(id), true
	case absent:
		return rejected, true
	}
	return nil, false
}

// passToScheduler submits a stored job to the scheduler.
func (j *JobService) passToScheduler(sub cellsched.Submission) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	if err := j.sched.Submit(ctx, sub); err != nil {
		j.log.Info("[front] cannot pass the job to the scheduler; its store watch will find it", zap.String("job", sub.ID), zap.Error(err))
	}
}

// put creates the job's record and retries until it is stored. Every second attempt goes
// through another VM; if this VM cannot reach the store, every attempt does. put stops early
// enough that the client has time to try another VM.
func (j *JobService) put(ctx context.Context, sub cellsched.Submission) error {
	ctx, cancel := context.WithTimeout(ctx, putBudget(ctx))
	defer cancel()
	// maybeStored is true once an attempt failed that may still take effect.
	maybeStored := false
	var err error
	for attempt, proxyPuts := 0, 0; ; attempt++ {
		var outcome cellsched.PutOutcome
		unreachable := j.health.Unreachable(time.Now())
		callCtx, cancel := context.WithTimeout(ctx, min(putTimeout, j.storeTimeout.Timeout()))
		if unreachable || attempt%2 == 1 {
			outcome, err = j.sched.PutJobThroughPeer(callCtx, sub, proxyPuts)
			proxyPuts++
		} else {
			outcome, err = cellsched.PutJob(callCtx, j.store, sub)
		}
		cancel()
		switch outcome {
		case cellsched.PutStored:
			return nil
		case cellsched.PutCancelled:
			return codes.JobGone.Errorf("job %s was cancelled before it was stored", sub.ID)
		case cellsched.PutOtherAccount:
			return idTaken(sub.ID)
		case cellsched.PutUnknown:
			maybeStored = true
		}
		j.log.Warn("[front] attempt to store the job failed", zap.String("job", sub.ID), zap.Int("try", attempt), zap.Bool("open", maybeStored), zap.Bool("away", unreachable), zap.Error(err))
		if unreachable && proxyPuts >= maxProxyPuts {
			break
		}
		if !wait.For(ctx, retryInterval) || ctx.Err() != nil {
			break
		}
	}
	return notStoredError(maybeStored, err)
}

// putBudget returns how long this VM tries to store a job: a fraction of the client's timeout
// that leaves time for attempts on two other VMs.
func putBudget(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultClientTimeout / vmAttempts
	}
	return time.Until(deadline) / vmAttempts
}

// notStoredError returns the error for a client whose job could not be stored. If an attempt
// may still take effect, the error must not say that the job does not run.
func notStoredError(maybeStored bool, cause error) error {
	if maybeStored {
		// The cause is not wrapped, because it may have a code that says "not run".
		return codes.OutcomeUnknown.Errorf("the store did not confirm whether it stored the job: %v", cause)
	}
	return codes.PlatformUnavailable.With("the store cannot be reached", codes.RetryAfter(time.Second))
}

// idTaken returns the error for a submission under the id of a job of another client account.
func idTaken(id string) error {
	return codes.JobIDTaken.Errorf("job id %s is in use", id)
}

// Pending returns the number of jobs in a queue of which no task has started.
func (j *JobService) Pending(ctx context.Context, queue string) (int, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, schedulerTimeout)
		n, err := j.sched.Pending(callCtx, queue)
		cancel()
		if err == nil {
			return n, nil
		}
		if !wait.For(ctx, retryInterval) || ctx.Err() != nil {
			return 0, codes.NoZoneScheduler.With("the scheduler cannot be reached", codes.RetryAfter(time.Second))
		}
	}
}
