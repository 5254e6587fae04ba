package cluster

import (
	"fmt"
	"net/http"
	"time"

	"rhubarbstall.example/wire/platform"
)

// StartPlatform starts the platform stand-in as the process "platform".
func (c *Cluster) StartPlatform(args ...string) error {
	// A restarted platform keeps its address, because the settings files of entry VMs contain it.
	if c.platformAddr == "" {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		c.platformAddr = addr
	}
	_, err := c.start("platform", "sim-platform", true,
		append([]string{"-addr", c.platformAddr, "-history", c.historyFile("platform")}, args...)...)
	return err
}

// StartWorker starts a worker stand-in and adds it to the VM list of the platform.
func (c *Cluster) StartWorker(name, zone, rack string, args ...string) error {
	p, err := c.start(name, "sim-worker", true,
		append([]string{"-id", name, "-zone", zone, "-rack", rack, "-history", c.historyFile(name)}, args...)...)
	if err != nil {
		return err
	}
	return c.SetVM(platform.VM{
		ID: name, Role: platform.RoleWorker, AvailabilityZone: zone, Rack: rack,
		Addr: p.Ready.Addr, State: platform.VMLive,
	})
}

// StartRunner starts a runner stand-in and adds it to the VM list of the platform.
func (c *Cluster) StartRunner(name, zone string, args ...string) error {
	p, err := c.start(name, "sim-runner", true,
		append([]string{"-id", name, "-history", c.historyFile(name)}, args...)...)
	if err != nil {
		return err
	}
	return c.SetVM(platform.VM{
		ID: name, Role: platform.RoleRunner, AvailabilityZone: zone, Addr: p.Ready.Addr, State: platform.VMLive,
	})
}

// StartRelay starts a relay process with one link to target. Process and link have
// the same name. It returns the address on which the relay listens.
func (c *Cluster) StartRelay(link, target string) (string, error) {
	addr, err := freeAddr()
	if err != nil {
		return "", err
	}
	_, err = c.start(link, "sim-relay", true,
		"-link", link+"="+addr+">"+target, "-history", c.historyFile(link))
	return addr, err
}

// PlatformAddr returns the address of the platform.
func (c *Cluster) PlatformAddr() string { return c.platformAddr }

// SetVM adds a VM to the VM list of the platform or replaces the VM with the same ID.
func (c *Cluster) SetVM(vm platform.VM) error {
	c.mu.Lock()
	c.vms[vm.ID] = vm
	c.mu.Unlock()
	return c.Control("platform", "vms", vm)
}

// SetVMState changes the state of a VM in the VM list of the platform.
func (c *Cluster) SetVMState(id string, state platform.VMState) error {
	c.mu.Lock()
	vm, ok := c.vms[id]
	c.mu.Unlock()
	if !ok {
		return fmt.Errorf("no VM %q was added to the VM list", id)
	}
	vm.State = state
	return c.SetVM(vm)
}

// controlTimeout limits a control call to a stand-in.
const controlTimeout = 5 * time.Second

// Control makes a control call to the stand-in with the given process name.
func (c *Cluster) Control(name, call string, body any) error {
	p, err := c.Process(name)
	if err != nil {
		return err
	}
	return postJSON(fmt.Sprintf("http://%s/control/%s", p.Ready.Control, call), body)
}

// RemoveVM removes a VM from the VM list of the platform.
func (c *Cluster) RemoveVM(id string) error {
	p, err := c.Process("platform")
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/control/vms/%s", p.Ready.Control, id), nil)
	if err != nil {
		return err
	}
	return sendControl(req)
}
