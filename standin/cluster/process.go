// Package cluster runs a deployment as local processes on loopback addresses, for
// the demo, the scenarios and the slope measurements. Its entry VMs are real daemons.
// The other processes are stand-ins: the programs sim-platform, sim-worker, sim-runner
// and sim-relay, which simulate the surroundings of the daemon.
package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/process"
)

// startTimeout limits the time until a stand-in prints its addresses.
const startTimeout = 10 * time.Second

// Process is one start of a program.
type Process struct {
	Name string
	// Ready holds the addresses that a stand-in printed. It is empty for an entry VM.
	Ready process.Ready

	cmd     *exec.Cmd
	history *history.Writer
	exited  chan struct{}
	mu      sync.Mutex
	killed  bool
	err     error
}

// startProcess starts a program and appends its output to DIR/NAME.log. With ready
// set, the program is a stand-in: standard output is not logged, and its first line
// holds the addresses of the stand-in.
func startProcess(dir, name, program string, args []string, ready bool, h *history.Writer) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{Name: name, history: h, exited: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = childAttributes()
	if !ready {
		p.cmd.Stdout = log
		if err := p.spawn(); err != nil {
			return nil, err
		}
		return p, nil
	}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd.Stdout = in
	err = p.spawn()
	_ = in.Close()
	if err != nil {
		return nil, err
	}
	if err := p.readReady(out); err != nil {
		p.Kill()
		return nil, fmt.Errorf("start %s: %w; last line of its log: %q", name, err, lastLine(log.Name()))
	}
	return p, nil
}

// lastLine returns the last line of a file.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// spawn starts the operating system process.
func (p *Process) spawn() error {
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	go p.waitForExit()
	return nil
}

// readReady reads the addresses that a stand-in prints when it listens.
func (p *Process) readReady(out *os.File) error {
	if err := out.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("read the ready line with its addresses: %w", err)
	}
	return json.Unmarshal([]byte(strings.TrimSpace(line)), &p.Ready)
}

// waitForExit records the end of the process. A process that was killed or that
// ended with an error is recorded as killed in the history.
func (p *Process) waitForExit() {
	err := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	if err != nil || p.killed {
		p.history.Write(history.Event{Type: history.ProcessKilled, Node: p.Name})
	}
	close(p.exited)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns the exit error of an ended process, or nil.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Stop resumes a frozen process, terminates it, and kills it if it has not ended
// within the timeout.
func (p *Process) Stop(timeout time.Duration) {
	p.Thaw()
	p.Terminate()
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.Kill()
	}
}

// signal sends a signal to the process. It ignores a process that has ended and
// prints any other error.
func (p *Process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(os.Stderr, "send signal to process %s: %v\n", p.Name, err)
	}
}
