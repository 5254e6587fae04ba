package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vm is an entry VM: one process of the system.
type vm struct {
	w             *world
	name          string
	client, ready string
	peerPort      int
	// settings and log are the paths of the settings file and of what the process writes.
	settings, log string
	storeAddr     string
	cmd           *exec.Cmd
	exited        chan struct{}
}

// deployRun returns the words of run in the deploy file.
func deployRun() ([]string, error) {
	f, err := os.Open("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		key, value, ok := strings.Cut(lines.Text(), "=")
		if ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run")
}

// Ports of VMs are below those that the kernel picks for connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freePort returns a port that is free now, with the next ones if more are needed.
func freePort(n int) (int, error) {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		free := true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

// addVM starts an entry VM. If the process ends at once, since something else took one of its ports
// meanwhile, it is started with others.
func (w *world) addVM(name string) (*vm, error) {
	for range 5 {
		v, err := w.newVM(name)
		if err != nil {
			return nil, err
		}
		if err := v.start(); err != nil {
			return nil, err
		}
		select {
		case <-v.exited:
			w.rec.logf("vm %s could not listen; trying other ports", name)
			continue
		case <-time.After(200 * time.Millisecond):
		}
		return v, nil
	}
	return nil, fmt.Errorf("vm %s does not start", name)
}

// newVM chooses the ports of an entry VM and writes its settings file.
func (w *world) newVM(name string) (*vm, error) {
	v := &vm{w: w, name: name, log: filepath.Join(w.dir, name+".log"), settings: filepath.Join(w.dir, name+".conf"), storeAddr: w.storeAddr}
	base, err := freePort(2)
	if err != nil {
		return nil, err
	}
	v.peerPort = base
	for _, addr := range []*string{&v.client, &v.ready} {
		port, err := freePort(1)
		if err != nil {
			return nil, err
		}
		*addr = fmt.Sprintf("127.0.0.1:%d", port)
	}
	settings := fmt.Sprintf(`node_name=%s
role=entry-vm
machine_class=frontend
serves=frontend
ip_address=127.0.0.1
zone=regina
region=prairies
zones.regina=prairies
listen_addresses.frontend=%s
listen_addresses.ready=%s
internal_port_range=%d,%d
seed_nodes=
bootstrap=true
counts_toward_tolerance=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_point=virtual_ip
heartbeat_interval_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
fault_tolerance.machines=2
fault_tolerance.zones=1
bounds.contact_timeout_ms=3000
bounds.acknowledge_timeout_ms=4000
bounds.drain_timeout_ms=2000
bounds.grace_period_s=6
bounds.configuration_apply_ms=2000
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.checkpoint_interval_s=0.5
bounds.restore_ms=250
commands=invocation
recommendation=%s
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_retention_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
`, v.name, v.client, v.ready, v.peerPort, v.peerPort+1, w.advisorAddr, v.storeAddr)
	if err := os.WriteFile(v.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return v, nil
}

// start starts the process of the VM as the deploy file says.
func (v *vm) start() error {
	words, err := deployRun()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"RHUBARBSTALL_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + v.w.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	exited := v.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.w.rec.logf("vm %s starts (pid %d)", v.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.w.rec.logf("vm %s gets %v", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

// stop ends the process with a signal, and kills it after the grace period.
func (v *vm) stop(s syscall.Signal) {
	v.signal(s)
	select {
	case <-v.exited:
	case <-time.After(6 * time.Second):
		v.w.rec.logf("vm %s is killed after the grace period", v.name)
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
	v.w.rec.logf("vm %s has ended", v.name)
}

// isReady reports whether the VM answers that it is ready.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (w *world) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, v := range w.vms {
		for !v.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("vm %s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// leader returns the VM that last wrote to the store under a condition as the holder of the
// scheduler's role, by the record that it keeps there.
func (w *world) leader() *vm {
	value := string(w.store.value("lead/holder"))
	for _, v := range w.vms {
		if strings.Contains(value, `"`+v.name+`"`) {
			return v
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, v := range w.vms {
		if v == nil {
			continue
		}
		select {
		case <-v.exited:
		default:
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
	}
}
