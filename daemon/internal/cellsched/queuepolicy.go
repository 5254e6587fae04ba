package cellsched

import (
	"time"

	"rhubarbstall.example/sched/cell"
)

// QueuePolicy is the stored form of a queue's policy.
type QueuePolicy struct {
	Priority    int     `json:"priority,omitempty"`
	MaxAttempts int     `json:"attempts,omitempty"`
	SlackFactor float64 `json:"slack,omitempty"`
	// TargetMS is the target latency in ms.
	TargetMS float64       `json:"target_ms,omitempty"`
	Advice   *AdvicePolicy `json:"advice,omitempty"`
}

// AdvicePolicy is the stored form of a cell.AdvicePolicy; all times are in ms.
type AdvicePolicy struct {
	BaseMS      float64 `json:"base_ms"`
	PerRunnerMS float64 `json:"runner_ms"`
	ValidityMS  float64 `json:"valid_ms"`
}

// NewJobHeader returns the header of a job that is accepted now for a queue.
func NewJobHeader(now time.Time, q cell.Queue) JobHeader {
	p := &QueuePolicy{Priority: q.Priority, MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor, TargetMS: milliseconds(q.TargetLatency)}
	if a := q.Advice; a != nil {
		p.Advice = &AdvicePolicy{BaseMS: milliseconds(a.Base), PerRunnerMS: milliseconds(a.PerRunner), ValidityMS: milliseconds(a.Validity)}
	}
	return JobHeader{Queue: q.Name, Pool: q.Pool, AcceptedMS: now.UnixMilli(), Policy: p}
}

// queue returns the policy as that of the queue that a header names.
func (p *QueuePolicy) queue(h JobHeader) cell.Queue {
	q := cell.Queue{
		Name: h.Queue, Pool: h.Pool, Priority: p.Priority, MaxAttempts: p.MaxAttempts,
		SlackFactor: p.SlackFactor, TargetLatency: duration(p.TargetMS),
	}
	if a := p.Advice; a != nil {
		q.Advice = &cell.AdvicePolicy{Base: duration(a.BaseMS), PerRunner: duration(a.PerRunnerMS), Validity: duration(a.ValidityMS)}
	}
	return q
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
