package play

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbstall.example/standin/relay"
)

// grace is how long a VM may take to stop, as its settings say.
const grace = 6 * time.Second

// vm is an entry VM: one process of the daemon.
type vm struct {
	name, dir, program string
	// options are the lines of the settings that depend on the run.
	options []string
	ready   string
	// store is the VM's link to the store, front the clients' link to the VM, peer that of the other VMs to it
	// while it holds the scheduler's role.
	store, front, peer *relay.Link

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopping tells that the run ends the process.
	stopping bool
	// ownEnds counts how often the process ended by itself.
	ownEnds int
}

const (
	// The ports of VMs are below those that the kernel gives to connections, since a VM that is stopped
	// needs its ports again.
	firstPort, lastPort = 12000, 30000
	// portsPerVM are those for clients, for readiness, and the range for other VMs and metrics.
	portsPerVM = 4
)

// freePorts returns the first of portsPerVM free ports in a row.
func freePorts() (int, error) {
	for range 1000 {
		first := firstPort + rand.IntN(lastPort-firstPort)
		free := 0
		for ; free < portsPerVM; free++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+free))
			if err != nil {
				break
			}
			_ = l.Close()
		}
		if free == portsPerVM {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", portsPerVM)
}

const (
	// listenTime is within which a process that can't listen has ended; startTries is how often other
	// ports are tried then, since something else may take free ports meanwhile.
	listenTime = 300 * time.Millisecond
	startTries = 5
)

// newVM starts a VM on free ports. learnPeer gets the address of its peer port and of the link to it.
func newVM(dir, program, name string, options []string, storeAddr, advisorAddr string, learnPeer func(addr, through string)) (*vm, error) {
	link, err := relay.Open("127.0.0.1:0", storeAddr)
	if err != nil {
		return nil, err
	}
	for range startTries {
		v := &vm{name: name, dir: dir, program: program, options: options, store: link}
		if err := v.startOnFreePorts(advisorAddr, learnPeer); err != nil {
			return nil, err
		}
		select {
		case <-v.exited:
			v.front.Close()
			v.peer.Close()
		case <-time.After(listenTime):
			return v, nil
		}
	}
	return nil, fmt.Errorf("%s ends at its start; see its log in %s", name, dir)
}

// startOnFreePorts writes the settings of a VM and starts it.
func (v *vm) startOnFreePorts(advisorAddr string, learnPeer func(addr, through string)) error {
	port, err := freePorts()
	if err != nil {
		return err
	}
	clients, peer := fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+2)
	v.ready = fmt.Sprintf("127.0.0.1:%d", port+1)
	if v.front, err = relay.Open("127.0.0.1:0", clients); err != nil {
		return err
	}
	if v.peer, err = relay.Open("127.0.0.1:0", peer); err != nil {
		return err
	}
	learnPeer(peer, v.peer.Addr())
	text := strings.Join(append([]string{
		"node_name=" + v.name, "zone=z", "ip_address=127.0.0.1", "listen_addresses.frontend=" + clients, "listen_addresses.ready=" + v.ready,
		fmt.Sprintf("internal_port_range=%d,%d", port+2, port+3), "platform.address=" + v.store.Addr(), "recommendation=" + advisorAddr,
		"bounds.max_hold_ms=6000", "bounds.grace_period_s=6", "bounds.early_ms=250", "bounds.drain_timeout_ms=2000",
	}, v.options...), "\n") + "\n"
	if err := os.WriteFile(v.settings(), []byte(text), 0o600); err != nil {
		return err
	}
	return v.start()
}

func (v *vm) settings() string { return filepath.Join(v.dir, v.name+".conf") }

// start starts the process unless it runs. Its output is appended to NAME.log.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && !closed(v.exited) {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(v.program, "cell")
	cmd.Env = []string{"RHUBARBSTALL_BOOT=" + v.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.exited, v.stopping = cmd, make(chan struct{}), false
	go v.wait(cmd, v.exited)
	return nil
}

// closed reports whether a channel is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// wait notes the end of a process.
func (v *vm) wait(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // The record says only whether the run asked for the end.
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.stopping {
		v.ownEnds++
	}
	close(exited)
}

// closeLinks closes what leads to and from the VM.
func (v *vm) closeLinks() {
	for _, l := range []*relay.Link{v.store, v.front, v.peer} {
		l.Close()
	}
}

// signal sends a signal to the VM's process, by its id.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s) // An error means that the process has ended.
}

// stop ends the process with a signal, and kills it after the grace period.
func (v *vm) stop(s syscall.Signal) {
	v.mu.Lock()
	v.stopping = true
	exited := v.exited
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(s)
	select {
	case <-exited:
	case <-time.After(grace):
		v.signal(syscall.SIGKILL)
		<-exited
	}
}

func (v *vm) ownEndCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ownEnds
}

// logLines returns what the VM's processes have written.
func (v *vm) logLines() []string {
	data, err := os.ReadFile(filepath.Join(v.dir, v.name+".log"))
	if err != nil {
		return []string{"the log cannot be read, which hides a panic: " + err.Error()}
	}
	return strings.Split(string(data), "\n")
}
