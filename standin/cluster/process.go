// Package cluster starts a deployment as processes on loopback addresses, for
// the demo and the scenarios.
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

// startTimeout bounds the time until a stand-in listens.
const startTimeout = 10 * time.Second

// Process is a started process.
type Process struct {
	Name string
	// Ready holds the addresses of a stand-in.
	Ready process.Ready

	cmd     *exec.Cmd
	history *history.Writer
	exited  chan struct{}
	mu      sync.Mutex
	killed  bool
	err     error
}

// start starts a program. Its output goes to DIR/NAME.log; with ready set, the
// first line of standard output is the addresses of a stand-in.
func start(dir, name, program string, args []string, ready bool, h *history.Writer) (*Process, error) {
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
		if err := p.begin(); err != nil {
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
	err = p.begin()
	_ = in.Close()
	if err != nil {
		return nil, err
	}
	if err := p.readReady(out); err != nil {
		p.Kill()
		return nil, fmt.Errorf("start %s: %w; its log ends with %q", name, err, lastLine(log.Name()))
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

func (p *Process) begin() error {
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	go p.wait()
	return nil
}

func (p *Process) readReady(out *os.File) error {
	if err := out.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("no ready line: %w", err)
	}
	return json.Unmarshal([]byte(strings.TrimSpace(line)), &p.Ready)
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	if err != nil || p.killed {
		p.history.Write(history.Event{Type: history.ProcessKilled, Node: p.Name})
	}
	close(p.exited)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to end gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns the error of an ended process.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Stop terminates the process and kills it if it has not ended after limit.
func (p *Process) Stop(limit time.Duration) {
	p.Thaw()
	p.Terminate()
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.Kill()
	}
}

// signal signals the process; one that has ended is not signaled.
func (p *Process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(os.Stderr, "signal %s: %v\n", p.Name, err)
	}
}
