package main

import (
	"fmt"
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

// vm is an entry VM: a process of the daemon, started with the command of the deploy file.
type vm struct {
	w                   *world
	name, zone          string
	front, ready        string
	internal, log, conf string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// freePorts returns n free ports in a row, below those that the kernel gives to connections.
func freePorts(n int, from *int) (int, error) {
	for first := *from; first < 32000; first += n {
		free := 0
		for ; free < n; free++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+free))
			if err != nil {
				break
			}
			_ = l.Close()
		}
		if free == n {
			*from = first + n
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

// portsPerVM are those for clients, readiness, control_plane, and a range of 16.
const portsPerVM = 19

func (w *world) addVM(name, zone string) (*vm, error) {
	port, err := freePorts(portsPerVM, &w.nextPort)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", port+n) }
	v := &vm{w: w, name: name, zone: zone, front: at(0), ready: at(1)}
	v.conf, v.log = filepath.Join(w.dir, name+".conf"), filepath.Join(w.dir, name+".log")
	lines := []string{
		"node_name=" + name, "role=entry-vm", "machine_class=frontend", "serves=frontend", "ip_address=127.0.0.1", "zone=" + zone, "region=prairies",
		"zones.regina=prairies", "zones.saskatoon=prairies", "zones.winnipeg=prairies", "zones.calgary=prairies",
		"listen_addresses.frontend=" + v.front, "listen_addresses.ready=" + v.ready, "listen_addresses.control_plane=" + at(2),
		fmt.Sprintf("internal_port_range=%d,%d", port+3, port+18), "seed_nodes=", "bootstrap=true", "counts_toward_tolerance=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry_point=virtual_ip", "heartbeat_interval_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_timeout_ms=3000", "bounds.acknowledge_timeout_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_timeout_ms=2000", "bounds.grace_period_s=6", "bounds.loss_slack_ms=200", "bounds.configuration_apply_ms=2000", "bounds.rollback_slack_ms=250",
		"bounds.max_stretch_ms=5000", "bounds.recovery_s=12", "bounds.max_hold_ms=10000", "bounds.stop_timeout_ms=200", "bounds.gang_timeout_ms=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_factor=3",
		"bounds.checkpoint_interval_s=0.5", "bounds.restore_ms=250", "bounds.notice_ms=4500", "bounds.migration_s=1.5", "bounds.maintenance_s=2",
		"bounds.fencing_enforced=false", "bounds.lease_duration_ms=3000", "bounds.thaw_slack_ms=300", "bounds.pacing_ms=100", "bounds.impact_ms=4000",
		"commands=invocation", "recommendation=" + w.advisorAddr, "platform.address=" + w.storeAddr, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_retention_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
		"cloud_api.address=", "cloud_api.rate_per_s=60.0", "cloud_api.duties=", "cloud_api.duty_per_s=60.0",
	}
	if err := os.WriteFile(v.conf, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	w.vms = append(w.vms, v)
	return v, v.start()
}

func (v *vm) start() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(v.w.daemon, "cell")
	cmd.Env = []string{"RHUBARBSTALL_BOOT=" + v.conf}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(v.exited)
	v.w.rec.logf("VM %s starts, process %d", v.name, cmd.Process.Pid)
	return nil
}

// kill ends the process by its id and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	cmd, exited := v.cmd, v.exited
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // An error means that it has ended.
	<-exited
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// firstPort is where the search for free ports begins: cases that are played side by side begin apart.
func firstPort() int {
	n, err := strconv.Atoi(os.Args[1])
	if err != nil {
		n = 0
	}
	return 18000 + 500*(n%10)
}

// leader returns the VM that holds the scheduler's role by the store's record; nil if none does.
func (w *world) leader() *vm {
	holder := string(w.store.value("lead/holder"))
	for _, v := range w.vms {
		if strings.Contains(holder, `"`+v.name+`"`) {
			return v
		}
	}
	return nil
}
