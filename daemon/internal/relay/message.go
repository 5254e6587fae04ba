package relay

import (
	"bytes"
	"time"

	"rhubarbstall.example/platform"
)

// Batch is what the scheduler sends to a relay. The answer to a batch is a Reply with the calls that
// have ended, also those of earlier batches.
type Batch struct {
	// Session identifies the scheduler's term and its session with the relay. Calls are numbered
	// within a session.
	Session string `json:"session"`
	// Instance is the process of the relay that the scheduler knows; empty in the first batch, which
	// has no calls. Another process makes no calls of the batch.
	Instance string `json:"instance,omitempty"`
	// NotAfter is the reading of the relay's clock after which it starts no call of the batch.
	NotAfter time.Duration `json:"not_after,omitempty"`
	// Gather is the least time between two replies with answers, and PatientGather that between two
	// replies with answers that nothing waits for.
	Gather        time.Duration `json:"gather"`
	PatientGather time.Duration `json:"patient_gather"`
	// FencingToken is that of calls without one of their own.
	FencingToken int64 `json:"token"`
	// Payloads holds the payloads of the starts: the tasks of a job have the same.
	Payloads []string `json:"payloads,omitempty"`
	Calls    []Call   `json:"calls,omitempty"`
	// Cancelled holds the numbers of calls of earlier batches whose answers are not awaited any more.
	Cancelled []int64 `json:"cancelled,omitempty"`
}

// Call is a call to a runner. One of Renew, Start, Stop and Pace is set.
type Call struct {
	Number int64  `json:"n"`
	Runner string `json:"runner"`
	Addr   string `json:"addr"`
	// TimeoutMS is the time limit in milliseconds, from the arrival at the relay on.
	TimeoutMS int64 `json:"timeout_ms"`
	// FencingToken is 0 for that of the batch.
	FencingToken int64  `json:"token,omitempty"`
	Renew        *Renew `json:"renew,omitempty"`
	Start        *Start `json:"start,omitempty"`
	Stop         *Run   `json:"stop,omitempty"`
	Pace         *Pace  `json:"pace,omitempty"`
}

// Renew is a call that renews the leases of all runs on a runner. Its fields have the meaning of those
// of platform.RenewLeaseRequest.
type Renew struct {
	AckedEnd   int64 `json:"acked"`
	LeaseEndMS int64 `json:"lease_ms,omitempty"`
	WaitMS     int64 `json:"wait_ms,omitempty"`
	// idle tells that no run may exist on the runner.
	idle bool
}

// Run names a run.
type Run struct {
	Task      string `json:"task"`
	Execution int64  `json:"execution"`
}

// Start starts a run; see platform.StartOrder. Payload is an index of Batch.Payloads.
type Start struct {
	Run
	Payload    int    `json:"payload"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
	LeaseEndMS int64  `json:"lease_ms"`
}

// Pace changes the pace of a run to a percentage of its full speed.
type Pace struct {
	Run
	Percent int `json:"percent"`
}

// Reply is the relay's answer to a batch.
type Reply struct {
	// Instance identifies the relay's process.
	Instance string `json:"instance"`
	// Clock is the reading of the relay's clock when it sent the reply.
	Clock time.Duration `json:"clock"`
	// CallTokens tells that the relay passes on the fencing tokens of calls; relays of earlier releases do not.
	CallTokens bool `json:"call_tokens,omitempty"`
	// Leaving tells that the relay shuts down, and its runners should get another one.
	Leaving bool     `json:"leaving,omitempty"`
	Answers []Answer `json:"answers,omitempty"`
}

// Failure tells how a call without a usable answer failed.
type Failure string

const (
	// failedNotPassedOn means that the relay did not make the call.
	failedNotPassedOn Failure = "not_passed_on"
	// failedNotSent means that no byte of the call left the relay.
	failedNotSent Failure = "not_sent"
	// failedNoAnswer means that the call may have been carried out.
	failedNoAnswer Failure = "no_answer"
)

// patient reports whether nothing waits for the call: it is a renewal for a runner without runs. On others a
// run may have ended, whose end only the next renewal brings.
func (c *Call) patient() bool { return c.Renew != nil && c.Renew.idle }

// patient reports whether nothing waits for the answer: it is that to a renewal, and no run has ended.
func (a *Answer) patient() bool {
	return a.Report != nil && len(bytes.TrimSpace(a.Report.Ended)) <= len("[]")
}

// Answer is the outcome of a call.
type Answer struct {
	Number int64 `json:"n"`
	// ClockMS and Incarnation are what the runner told about its clock; see platform.RunnerClock.
	ClockMS     int64 `json:"clock_ms,omitempty"`
	Incarnation int64 `json:"incarnation,omitempty"`
	// Report is the runner's report in the answer to a renewal.
	Report *platform.RawReport `json:"report,omitempty"`
	// Refused is the reason of a platform.RefusedError.
	Refused string  `json:"refused,omitempty"`
	Failed  Failure `json:"failed,omitempty"`
	// Detail is the text of the error behind Failed.
	Detail string `json:"detail,omitempty"`
}
