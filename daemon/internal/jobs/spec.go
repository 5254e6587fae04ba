package jobs

import (
	"bytes"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/sched/model"
)

// Limits of a job.
const (
	MaxTasks        = 20_000
	MaxPayloadBytes = 32 << 10
	// MaxRecordBytes is the maximum encoded size of a new job record.
	MaxRecordBytes = 64 << 10
	maxRunMillis   = 604_800_000
)

// Spec describes a job to submit. It mirrors JobSpec of the API.
type Spec struct {
	Kind       string        `json:"kind"`
	Department string        `json:"department"`
	Type       model.JobType `json:"type,omitempty"`
	Tasks      int           `json:"tasks,omitempty"`
	Size       Size          `json:"size"`
	// RunMillis is the declared run time of a task; zero for a service.
	RunMillis      int64  `json:"run_ms,omitempty"`
	Payload        []byte `json:"payload,omitempty"`
	Checkpointing  bool   `json:"checkpointing,omitempty"`
	NoRepeat       bool   `json:"no_repeat,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// AvailabilityZone is the home zone; if empty, Submit selects one.
	AvailabilityZone string `json:"availability_zone,omitempty"`
}

// Size is the resources that one task needs.
type Size struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// normalize sets defaults for empty fields.
func (s *Spec) normalize() {
	if s.Type == "" {
		s.Type = model.Batch
	}
	if s.Tasks == 0 {
		s.Tasks = 1
	}
}

// validate checks the values of a normalized spec.
func (s *Spec) validate() error {
	switch {
	case s.Kind == "":
		return codes.InvalidValue.Errorf("kind is empty")
	case s.Department == "":
		return codes.InvalidValue.Errorf("department is empty")
	case s.Type != model.Batch && s.Type != model.Gang && s.Type != model.Service:
		return codes.InvalidValue.Errorf("type %q is not batch, gang or service", s.Type)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return codes.InvalidValue.Errorf("tasks is %d; it must be 1 to %d", s.Tasks, MaxTasks)
	case s.Size.MilliCPU < 1 || s.Size.MemoryMB < 1 || s.Size.Accelerators < 0:
		return codes.InvalidValue.Errorf("size needs at least 1 milli_cpu and 1 memory_mb, and accelerators not below zero")
	case s.RunMillis < 0 || s.RunMillis > maxRunMillis:
		return codes.InvalidValue.Errorf("run_ms is %d; it must be 0 to %d", s.RunMillis, int64(maxRunMillis))
	case len(s.Payload) > MaxPayloadBytes:
		return codes.JobTooLarge.Errorf("payload has %d bytes; the limit is %d", len(s.Payload), MaxPayloadBytes)
	}
	return nil
}

// sameWork reports whether two submissions with the same idempotency key request the
// same work. It ignores NoRepeat, because the flag may come from settings that
// changed between the submissions; the flag of the first submission applies.
func (s *Spec) sameWork(o *Spec) bool {
	a, b := *s, *o
	a.Payload, b.Payload = nil, nil
	a.AvailabilityZone, b.AvailabilityZone = "", ""
	return bytes.Equal(s.Payload, o.Payload) && a.equalScalars(&b)
}

func (s *Spec) equalScalars(o *Spec) bool {
	return s.Kind == o.Kind && s.Department == o.Department && s.Type == o.Type && s.Tasks == o.Tasks &&
		s.Size == o.Size && s.RunMillis == o.RunMillis && s.Checkpointing == o.Checkpointing
}
