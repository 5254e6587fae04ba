package cellsched

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// Keys in the store. Entry VMs write jobs and cancel requests under one prefix, so that one
// watch covers both. Only the scheduler writes states.
const (
	WorkPrefix   = "work/"
	jobPrefix    = "work/job/"
	cancelPrefix = "work/cancel/"
	statePrefix  = "state/"
	// rosterKey holds the roster of runners that may have runs. It is needed because the
	// runners' own entries expire while the store is unavailable.
	rosterKey = "cell/runners"
	// startsKey holds the starts without an answer, which runners may still carry out in the term of the next scheduler.
	startsKey = "cell/starts"
)

// JobKey is the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey is the key of a request to cancel a job.
func CancelKey(id string) string { return cancelPrefix + id }

// StateKey is the key of a job's state.
func StateKey(id string) string { return statePrefix + id }

// JobHeader is the part of a stored job that precedes the client's body.
type JobHeader struct {
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// AcceptedMS is the Unix time in ms at which the job was accepted, by the clock of the VM
	// that accepted it; 0 if unknown.
	AcceptedMS int64 `json:"accepted_ms,omitempty"`
	// Policy is the policy of the queue when the job was accepted; nil in records of earlier
	// releases and of completed jobs. The operator may remove the queue before the job has ended.
	Policy *QueuePolicy `json:"policy,omitempty"`
	// ClientAccount is the account that the job belongs to; empty if it belongs to none.
	ClientAccount string `json:"account,omitempty"`
	// Limit is the limit of the account when the job was accepted; nil if unknown. The configuration may leave the account
	// out before the job has ended, and the scheduler's VM may learn of it later than the VM that accepted the job.
	Limit *AccountLimit `json:"account_limit,omitempty"`
	// AdmittedShare is the share of the account's jobs for the queue that was admitted when the job was; 0 if all were.
	AdmittedShare float64 `json:"admitted,omitempty"`
}

// maxTimeSinceAcceptance limits the effect of a clock that has jumped.
const maxTimeSinceAcceptance = time.Hour

// timeSinceAcceptance returns how long before the wall time the job was accepted.
func (h JobHeader) timeSinceAcceptance(wall time.Time) time.Duration {
	if h.AcceptedMS == 0 {
		return 0
	}
	return min(max(wall.Sub(time.UnixMilli(h.AcceptedMS)), 0), maxTimeSinceAcceptance)
}

// EncodeJob returns the stored form of a job: the header, a newline, and the body as the
// client sent it.
func EncodeJob(h JobHeader, body []byte) ([]byte, error) {
	head, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	return append(append(head, '\n'), body...), nil
}

// encodeHeader returns the stored form of a job without its body.
func encodeHeader(j *cell.Job) []byte {
	value, err := EncodeJob(JobHeader{Queue: j.Queue, Pool: j.Pool, ClientAccount: j.ClientAccount}, nil)
	if err != nil {
		panic(err) // A JobHeader can always be encoded.
	}
	return value
}

// DecodeJob decodes the stored form of a job.
func DecodeJob(id string, value []byte) (*cell.Job, error) {
	j, body, err := splitHeader(id, value)
	if err != nil {
		return nil, err
	}
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return nil, fmt.Errorf("decode stored job %s: %w", id, err)
	}
	j.Spec = *spec
	return j, nil
}

// decodeHeader decodes the header of a stored job and returns the job without steps. This is
// enough for a completed job, of which only the state is reported.
func decodeHeader(id string, value []byte) (*cell.Job, error) {
	j, _, err := splitHeader(id, value)
	return j, err
}

// OwnerOf returns the client account that a stored job belongs to.
func OwnerOf(id string, value []byte) (string, error) {
	h, _, err := cutHeader(id, value)
	return h.ClientAccount, err
}

// cutHeader returns the header of a stored job and its body.
func cutHeader(id string, value []byte) (JobHeader, []byte, error) {
	var h JobHeader
	head, body, ok := bytes.Cut(value, []byte{'\n'})
	if !ok {
		return h, nil, fmt.Errorf("decode stored job %s: no newline after the header", id)
	}
	if err := json.Unmarshal(head, &h); err != nil {
		return h, nil, fmt.Errorf("decode stored job %s: %w", id, err)
	}
	return h, body, nil
}

func splitHeader(id string, value []byte) (*cell.Job, []byte, error) {
	h, body, err := cutHeader(id, value)
	if err != nil {
		return nil, nil, err
	}
	j := &cell.Job{ID: id, Queue: h.Queue, Pool: h.Pool, ClientAccount: h.ClientAccount, AdmittedShare: h.AdmittedShare, PriorWait: h.timeSinceAcceptance(time.Now().Round(0))}
	if h.Policy != nil {
		q := h.Policy.queue(h)
		j.QueuePolicy = &q
	}
	if h.Limit != nil {
		j.AccountPolicy = h.Limit.account(h)
	}
	return j, body, nil
}
