package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rhubarbstall.example/standin/cluster"
)

// cmdStart starts a process again that was killed or stopped; an entry VM is
// waited for until it is ready.
func (w *world) cmdStart(_ *testscript.TestScript, words []string) error {
	for _, name := range words {
		start, ok := w.restart[name]
		if !ok {
			return fmt.Errorf("no process %q", name)
		}
		if err := start(); err != nil {
			return err
		}
		if _, err := w.entry(name); err == nil {
			ctx, cancel := context.WithTimeout(w.ctx, waitLimit)
			err := w.cluster.AwaitReady(ctx, name, false)
			cancel()
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) each(words []string, do func(*cluster.Process) error) error {
	if len(words) == 0 {
		return fmt.Errorf("a process is needed")
	}
	for _, name := range words {
		p, err := w.cluster.Process(name)
		if err != nil {
			return err
		}
		if err := do(p); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) cmdSigkill(_ *testscript.TestScript, words []string) error {
	return w.each(words, func(p *cluster.Process) error { p.Kill(); return nil })
}

func (w *world) cmdFreeze(_ *testscript.TestScript, words []string) error {
	return w.each(words, func(p *cluster.Process) error { p.Freeze(); return nil })
}

func (w *world) cmdThaw(_ *testscript.TestScript, words []string) error {
	return w.each(words, func(p *cluster.Process) error { p.Thaw(); return nil })
}

// cmdSigterm ends processes gracefully. A process that does not end is an error.
func (w *world) cmdSigterm(_ *testscript.TestScript, words []string) error {
	return w.each(words, func(p *cluster.Process) error {
		p.Terminate()
		select {
		case <-p.Exited():
			return p.Err()
		case <-time.After(waitLimit):
			return fmt.Errorf("%s did not end in %v", p.Name, waitLimit)
		}
	})
}

// cmdPause lets time pass.
func (w *world) cmdPause(_ *testscript.TestScript, words []string) error {
	if len(words) != 1 {
		return fmt.Errorf("a duration is needed")
	}
	d, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
		return nil
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
}

// cmdReplaceWorkers kills every worker of a zone, removes them from the
// platform's list, and starts as many new ones under new names.
func (w *world) cmdReplaceWorkers(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("cpu", "memory"); err != nil {
		return err
	}
	zone := a.names[0]
	old := w.workersOf(zone)
	for _, name := range old {
		p, err := w.cluster.Process(name)
		if err != nil {
			return err
		}
		p.Kill()
		if err := w.cluster.RemoveVM(name); err != nil {
			return err
		}
	}
	for i := range old {
		if err := w.startWorker(fmt.Sprintf("%s-worker-new-%d", zone[:1], i+1), zone, fmt.Sprintf("%s-rack-new-%d", zone[:1], i/2+1), a); err != nil {
			return err
		}
	}
	return nil
}

// workersOf returns the workers of a zone in order of their names.
func (w *world) workersOf(zone string) []string {
	var names []string
	for name := range w.restart {
		if strings.HasPrefix(name, zone[:1]+"-worker-") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// startWorker starts a worker that can be started again under its name.
func (w *world) startWorker(name, zone, rack string, a arguments) error {
	w.restart[name] = func() error {
		return w.cluster.StartWorker(name, zone, rack, "-max-owner-lease", "1500ms",
			"-milli-cpu", a.text("cpu", "8000"), "-memory-mb", a.text("memory", "16384"), "-usage-lag", "200ms")
	}
	return w.restart[name]()
}
