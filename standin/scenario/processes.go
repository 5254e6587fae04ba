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

// cmdStart restarts processes that were killed or stopped, and waits until each entry VM
// among them is ready.
func (s *scenario) cmdStart(_ *testscript.TestScript, words []string) error {
	for _, name := range words {
		start, ok := s.restart[name]
		if !ok {
			return fmt.Errorf("no process named %q can be started again", name)
		}
		if err := start(); err != nil {
			return err
		}
		if _, err := s.entry(name); err == nil {
			ctx, cancel := context.WithTimeout(s.ctx, defaultWaitTimeout)
			err := s.cluster.AwaitReady(ctx, name, false)
			cancel()
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// forEachProcess calls do for each named process. It stops at the first error.
func (s *scenario) forEachProcess(words []string, do func(*cluster.Process) error) error {
	if len(words) == 0 {
		return fmt.Errorf("missing argument: the name of a process")
	}
	for _, name := range words {
		p, err := s.cluster.Process(name)
		if err != nil {
			return err
		}
		if err := do(p); err != nil {
			return err
		}
	}
	return nil
}

// cmdSigkill kills processes.
func (s *scenario) cmdSigkill(_ *testscript.TestScript, words []string) error {
	return s.forEachProcess(words, func(p *cluster.Process) error { p.Kill(); return nil })
}

// cmdFreeze suspends processes with SIGSTOP.
func (s *scenario) cmdFreeze(_ *testscript.TestScript, words []string) error {
	return s.forEachProcess(words, func(p *cluster.Process) error { p.Freeze(); return nil })
}

// cmdThaw resumes frozen processes with SIGCONT.
func (s *scenario) cmdThaw(_ *testscript.TestScript, words []string) error {
	return s.forEachProcess(words, func(p *cluster.Process) error { p.Thaw(); return nil })
}

// cmdSigterm stops processes with SIGTERM, one after the other. It returns an error if a
// process does not end within defaultWaitTimeout or ends with an error.
func (s *scenario) cmdSigterm(_ *testscript.TestScript, words []string) error {
	return s.forEachProcess(words, func(p *cluster.Process) error {
		p.Terminate()
		select {
		case <-p.Exited():
			return p.Err()
		case <-time.After(defaultWaitTimeout):
			return fmt.Errorf("process %s did not end within %v after SIGTERM", p.Name, defaultWaitTimeout)
		}
	})
}

// cmdPause waits for a duration.
func (s *scenario) cmdPause(_ *testscript.TestScript, words []string) error {
	if len(words) != 1 {
		return fmt.Errorf("want one argument: a duration")
	}
	d, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// cmdReplaceWorkers kills every worker of a zone, removes it from the VM list of the
// platform, and starts the same number of workers under new names.
func (s *scenario) cmdReplaceWorkers(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("cpu", "memory"); err != nil {
		return err
	}
	zone := a.names[0]
	old := s.workersOf(zone)
	for _, name := range old {
		p, err := s.cluster.Process(name)
		if err != nil {
			return err
		}
		p.Kill()
		if err := s.cluster.RemoveVM(name); err != nil {
			return err
		}
	}
	for i := range old {
		if err := s.startWorker(fmt.Sprintf("%s-worker-new-%d", zone[:1], i+1), zone, fmt.Sprintf("%s-rack-new-%d", zone[:1], i/2+1), a); err != nil {
			return err
		}
	}
	return nil
}

// workersOf returns the names of all workers of a zone that were started, also of killed
// ones, in sorted order.
func (s *scenario) workersOf(zone string) []string {
	var names []string
	for name := range s.restart {
		if strings.HasPrefix(name, zone[:1]+"-worker-") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// startWorker starts a worker and adds it to the processes that cmdStart can restart. The
// maximum owner lease is the owner lease of the default settings, because a started worker
// grants no lease until the maximum has passed.
func (s *scenario) startWorker(name, zone, rack string, a arguments) error {
	s.restart[name] = func() error {
		return s.cluster.StartWorker(name, zone, rack, "-max-owner-lease", "1500ms",
			"-milli-cpu", a.text("cpu", "8000"), "-memory-mb", a.text("memory", "16384"), "-usage-lag", "200ms")
	}
	return s.restart[name]()
}
