package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The platform's machines: each entry VM is one process of the daemon, started with the command of the deploy
// file. A process that ends is started again after a short delay, and one that takes more memory than its
// machine has is killed, as DEPLOY.md says.

const (
	restartDelay = 500 * time.Millisecond
	memoryPoll   = 20 * time.Millisecond
	memoryMB     = 284
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	firstPort    = 7720
	lastPort     = 7735
	graceSeconds = 6
)

// end is how a process ended.
type end struct {
	at  time.Time
	why string
}

type vm struct {
	name, ip, dir, program string
	record                 *record

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	// why is set before the process is killed.
	why  string
	ends []end
	peak int64
	done chan struct{}
}

// freeNetwork returns the first three octets of loopback addresses on which the ports of count VMs are free.
func freeNetwork(count int) (string, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		free := true
		for i := 1; i <= count && free; i++ {
			for _, port := range []int{frontPort, readyPort, firstPort, firstPort + 1} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// settings returns the settings file of a VM, with the figures of psalter-hq.
func settings(name, ip, storeAddr string) string {
	return strings.Join([]string{
		"node_name=" + name, "role=entry-vm", "machine_class=frontend", "serves=frontend", "ip_address=" + ip,
		"zone=regina", "region=prairies", "zones.regina=prairies",
		fmt.Sprintf("listen_addresses.frontend=%s:%d", ip, frontPort),
		fmt.Sprintf("listen_addresses.ready=%s:%d", ip, readyPort),
		fmt.Sprintf("listen_addresses.control_plane=%s:%d", ip, controlPort),
		fmt.Sprintf("internal_port_range=%d,%d", firstPort, lastPort),
		"seed_nodes=", "bootstrap=true", "counts_toward_tolerance=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=" + strconv.Itoa(memoryMB), "limits.file_descriptors=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry_point=virtual_ip", "heartbeat_interval_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=8", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_timeout_ms=3000", "bounds.acknowledge_timeout_ms=4000",
		"bounds.catch_up_s=4", "bounds.drain_timeout_ms=2000", fmt.Sprintf("bounds.grace_period_s=%d", graceSeconds), "bounds.loss_slack_ms=200",
		"bounds.configuration_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.recovery_s=12",
		fmt.Sprintf("bounds.max_hold_ms=%d", maxHold.Milliseconds()), "bounds.stop_timeout_ms=200", fmt.Sprintf("bounds.gang_timeout_ms=%d", gangTimeout.Milliseconds()),
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remote_factor=3", "bounds.checkpoint_interval_s=0.5", "bounds.restore_ms=250", "bounds.notice_ms=4500",
		"bounds.migration_s=1.5", "bounds.maintenance_s=2", "bounds.fencing_enforced=false", "bounds.lease_duration_ms=3000",
		"bounds.thaw_slack_ms=300", "bounds.pacing_ms=100", "bounds.impact_ms=4000", "commands=invocation", "recommendation=",
		"platform.address=" + storeAddr, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_retention_s=20", "platform.value_bytes=1048576", fmt.Sprintf("platform.min_ttl_ms=%d", minTTL.Milliseconds()), "",
	}, "\n")
}

// startVMs starts VMs and waits until all are ready.
func startVMs(count int, dir, program, storeAddr string, rec *record) ([]*vm, error) {
	network, err := freeNetwork(count)
	if err != nil {
		return nil, err
	}
	var vms []*vm
	for i := 1; i <= count; i++ {
		v := &vm{name: fmt.Sprintf("frontend-regina-%d", i), ip: fmt.Sprintf("%s.%d", network, i), dir: dir, program: program, record: rec}
		if err := v.writeSettings(storeAddr); err != nil {
			return vms, err
		}
		if err := v.start(); err != nil {
			return vms, err
		}
		vms = append(vms, v)
		go v.watchMemory()
	}
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(20 * time.Second)
	for _, v := range vms {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", v.ip, readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return vms, fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return vms, nil
}

// writeSettings puts the settings file in its place at once.
func (v *vm) writeSettings(storeAddr string) error {
	next := v.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(settings(v.name, v.ip, storeAddr)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, v.settingsFile())
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.name+".conf") }

func (v *vm) start() error {
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(v.program, "cell")
	cmd.Env = []string{"RHUBARBSTALL_BOOT=" + v.settingsFile(), "PATH=" + os.Getenv("PATH"), "HOME=" + v.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return nil
	}
	started := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		// Pdeathsig belongs to the thread that starts the process, so this one waits for its end.
		lockThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		_ = cmd.Wait()
		v.ended(done)
	}()
	if err := <-started; err != nil {
		return err
	}
	v.cmd, v.done = cmd, done
	v.record.logf("%s: process %d starts", v.name, cmd.Process.Pid)
	return nil
}

// ended notes the end of the process and starts it again.
func (v *vm) ended(done chan struct{}) {
	v.mu.Lock()
	why := v.why
	if why == "" {
		why = "ended by itself"
	}
	v.why = ""
	stopping := v.stopping
	if !stopping {
		v.ends = append(v.ends, end{time.Now(), why})
	}
	close(done)
	v.mu.Unlock()
	if stopping {
		return
	}
	v.record.sayf("%s: the process has ended: %s", v.name, why)
	time.AfterFunc(restartDelay, func() {
		if err := v.start(); err != nil {
			v.record.sayf("%s: cannot be started again: %v", v.name, err)
		}
	})
}

// watchMemory kills a process that takes more memory than its machine has.
func (v *vm) watchMemory() {
	for range time.Tick(memoryPoll) {
		v.mu.Lock()
		cmd, done, stopping := v.cmd, v.done, v.stopping
		v.mu.Unlock()
		if stopping {
			return
		}
		select {
		case <-done:
			continue
		default:
		}
		mb := residentMB(cmd.Process.Pid)
		v.mu.Lock()
		v.peak = max(v.peak, mb)
		if mb > memoryMB && v.why == "" && v.cmd == cmd {
			v.why = fmt.Sprintf("killed by the platform: %d MB of memory, the machine has %d", mb, memoryMB)
			_ = cmd.Process.Kill()
		}
		v.mu.Unlock()
	}
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}

// kill ends the process at once; it starts again after a short delay.
func (v *vm) kill(why string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.why = why
	_ = v.cmd.Process.Kill()
}

// stopVMs ends all processes.
func stopVMs(vms []*vm) {
	for _, v := range vms {
		v.mu.Lock()
		v.stopping = true
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
		}
		done := v.done
		v.mu.Unlock()
		if done != nil {
			<-done
		}
	}
}

// holder returns the VM that holds the scheduler's role by the store; nil if there is none.
func holder(s *store, vms []*vm) *vm {
	text := string(s.value("lead/holder"))
	for _, v := range vms {
		if strings.Contains(text, `"`+v.name+`"`) {
			return v
		}
	}
	return nil
}

func (v *vm) ownEnds() []end {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]end(nil), v.ends...)
}

func (v *vm) peakMB() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peak
}
