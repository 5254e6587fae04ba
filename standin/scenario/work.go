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

// cmdRequest sends a named flow of requests and, without "background", waits
// until the last one has ended.
func (w *world) cmdRequest(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("kind", "department", "count", "every", "via", "key", "no-repeat", "settled", "background",
		"service", "fail", "truncate", "hang", "misdirect", "deadline", "body"); err != nil {
		return err
	}
	p, err := w.plan(a)
	if err != nil {
		return err
	}
	f := newFlow(a.names[0])
	w.flows[f.name] = f
	go f.run(w.ctx, w.caller, p)
	if !a.has("background") {
		<-f.done
	}
	return nil
}

func (w *world) plan(a arguments) (plan, error) {
	p := plan{entry: -1, settled: a.has("settled")}
	var err error
	if p.count, err = a.number("count", 1); err != nil {
		return p, err
	}
	if p.interval, err = a.duration("every", 10*time.Millisecond); err != nil {
		return p, err
	}
	if via := a.text("via", ""); via != "" {
		if p.entry, err = w.entry(via); err != nil {
			return p, err
		}
	}
	service, err := a.duration("service", 0)
	if err != nil {
		return p, err
	}
	deadline, err := a.duration("deadline", 0)
	if err != nil {
		return p, err
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
	p.request = func(n int) caller.Request {
		r := caller.Request{
			Kind: a.text("kind", "check"), Department: a.text("department", "head_office/brandon"),
			Body: body(a.text("body", name), n, behavior), NoRepeat: a.has("no-repeat"), Deadline: deadline,
		}
		if key != "" {
			r.Key = fmt.Sprintf("%s-%d", key, n)
		}
		return r
	}
	return p, nil
}

// cmdSubmit submits a named job and waits until it is acknowledged.
func (w *world) cmdSubmit(_ *testscript.TestScript, words []string) error {
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
	job, err := w.caller.SubmitUntilAcked(w.ctx, spec)
	if err != nil {
		return err
	}
	w.jobs[a.names[0]] = job.ID
	return nil
}

func jobSpec(a arguments) (*oas.JobSpec, error) {
	var numbers [4]int
	for i, n := range []struct {
		key    string
		absent int
	}{{"tasks", 1}, {"cpu", 1000}, {"memory", 1024}, {"actual-memory", 0}} {
		var err error
		if numbers[i], err = a.number(n.key, n.absent); err != nil {
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

// cmdCancel cancels a job.
func (w *world) cmdCancel(_ *testscript.TestScript, words []string) error {
	id, err := w.job(words)
	if err != nil {
		return err
	}
	return w.caller.Cancel(w.ctx, id)
}

func (w *world) job(words []string) (string, error) {
	if len(words) == 0 {
		return "", fmt.Errorf("a job is needed")
	}
	id, ok := w.jobs[words[0]]
	if !ok {
		return "", fmt.Errorf("no job %q", words[0])
	}
	return id, nil
}
