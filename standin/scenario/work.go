package scenario

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/worker"
)

// cmdRequest sends a named group of requests. Without the flag "background" it waits
// until the last of them has ended.
func (s *scenario) cmdRequest(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("kind", "department", "count", "every", "via", "key", "no-repeat", "settled", "background",
		"service", "fail", "truncate", "hang", "misdirect", "deadline", "body"); err != nil {
		return err
	}
	o, err := s.sendOptions(a)
	if err != nil {
		return err
	}
	g := newRequestGroup(a.names[0])
	s.requestGroups[g.name] = g
	go g.run(s.ctx, s.caller, o)
	if !a.has("background") {
		<-g.done
	}
	return nil
}

// sendOptions returns the options that the arguments of a "request" command give.
func (s *scenario) sendOptions(a arguments) (sendOptions, error) {
	o := sendOptions{entry: -1, settled: a.has("settled")}
	var err error
	if o.count, err = a.number("count", 1); err != nil {
		return o, err
	}
	if o.interval, err = a.duration("every", 10*time.Millisecond); err != nil {
		return o, err
	}
	if via := a.text("via", ""); via != "" {
		if o.entry, err = s.entry(via); err != nil {
			return o, err
		}
	}
	service, err := a.duration("service", 0)
	if err != nil {
		return o, err
	}
	deadline, err := a.duration("deadline", 0)
	if err != nil {
		return o, err
	}
	behavior := map[string]any{}
	if service > 0 {
		behavior["service_ms"] = service.Milliseconds()
	}
	for _, flag := range []string{"fail", "truncate", "hang", "misdirect"} {
		if a.has(flag) {
			behavior[flag] = true
		}
	}
	name, key := a.names[0], a.text("key", "")
	o.request = func(n int) caller.Request {
		r := caller.Request{
			Kind: a.text("kind", "check"), Department: a.text("department", "head_office/brandon"),
			Body: body(a.text("body", name), n, behavior), NoRepeat: a.has("no-repeat"), Deadline: deadline,
		}
		if key != "" {
			r.Key = fmt.Sprintf("%s-%d", key, n)
		}
		return r
	}
	return o, nil
}

// cmdSubmit submits a named job and waits until it is acknowledged.
func (s *scenario) cmdSubmit(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("kind", "department", "type", "tasks", "run", "cpu", "memory", "key", "zone", "checkpointing",
		"no-repeat", "fail", "actual-run", "actual-memory"); err != nil {
		return err
	}
	spec, err := jobSpec(a)
	if err != nil {
		return err
	}
	job, err := s.caller.SubmitUntilAcked(s.ctx, spec)
	if err != nil {
		return err
	}
	s.jobs[a.names[0]] = job.ID
	return nil
}

// jobSpec returns the job that the arguments of a "submit" command describe.
func jobSpec(a arguments) (*oas.JobSpec, error) {
	var numbers [4]int
	for i, n := range []struct {
		key          string
		defaultValue int
	}{{"tasks", 1}, {"cpu", 1000}, {"memory", 1024}, {"actual-memory", 0}} {
		var err error
		if numbers[i], err = a.number(n.key, n.defaultValue); err != nil {
			return nil, err
		}
	}
	run, err := a.duration("run", 300*time.Millisecond)
	if err != nil {
		return nil, err
	}
	actual, err := a.duration("actual-run", 0)
	if err != nil {
		return nil, err
	}
	payload, err := json.Marshal(worker.Behavior{
		Fail: a.has("fail"), ActualRunMillis: actual.Milliseconds(), ActualMemoryMB: int64(numbers[3]),
	})
	if err != nil {
		return nil, err
	}
	spec := &oas.JobSpec{
		Kind: a.text("kind", "plan"), Department: a.text("department", "head_office/brandon"),
		Type: oas.NewOptJobType(oas.JobType(a.text("type", "batch"))), Tasks: oas.NewOptInt(numbers[0]),
		Size:  oas.Size{MilliCPU: int64(numbers[1]), MemoryMB: int64(numbers[2])},
		RunMs: oas.NewOptInt64(run.Milliseconds()), Payload: payload,
		Checkpointing: oas.NewOptBool(a.has("checkpointing")), NoRepeat: oas.NewOptBool(a.has("no-repeat")),
		IdempotencyKey: oas.NewOptString(a.text("key", a.names[0])),
	}
	if zone := a.text("zone", ""); zone != "" {
		spec.AvailabilityZone = oas.NewOptString(zone)
	}
	return spec, nil
}

// cmdCancel cancels the job with a name.
func (s *scenario) cmdCancel(_ *testscript.TestScript, words []string) error {
	id, err := s.job(words)
	if err != nil {
		return err
	}
	return s.caller.Cancel(s.ctx, id)
}

// job returns the ID of the job that the first word names.
func (s *scenario) job(words []string) (string, error) {
	if len(words) == 0 {
		return "", fmt.Errorf("missing argument: the name of a job")
	}
	id, ok := s.jobs[words[0]]
	if !ok {
		return "", fmt.Errorf("no job named %q was submitted", words[0])
	}
	return id, nil
}
